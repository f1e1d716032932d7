import { randomUUID } from "node:crypto";
import { readFileSync, writeFileSync } from "node:fs";
import { defineCommand, runMain } from "citty";
import type { OperatorDocument } from "../common/document/OperatorDocument.ts";
import { parseOperatorDocument } from "../common/document/parseOperatorDocument.ts";
import { accountRequests } from "./account/accountRequests.ts";
import { plotAccount } from "./account/plotAccount.ts";
import { renderAccount } from "./account/renderAccount.ts";
import { applyAtLeader } from "./applyAtLeader.ts";
import { explainRequest } from "./explain/explainRequest.ts";
import { parseLog } from "./logs/parseLog.ts";
import { renderQuarantine } from "./quarantine/renderQuarantine.ts";
import { renderWorkspaces } from "./workspaces/renderWorkspaces.ts";
import { renderTimeline } from "./explain/renderTimeline.ts";

function fail(message: string): never {
  process.stderr.write(message + "\n");
  process.exit(1);
}

/** Reads a file as text; exits with an error message when it cannot be read. */
function readText(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (err) {
    fail(`${file}: ${err instanceof Error ? err.message : String(err)}`);
  }
}

/** Reads and validates a document; exits with a list of its problems, each with line and field, if it is invalid. */
function readDocument(file: string): { text: string; doc: OperatorDocument } {
  const text = readText(file);
  const parsed = parseOperatorDocument(text);
  if (!parsed.ok) {
    const lines = parsed.problems.map(
      (p) => `${file}:${p.line}: ${p.field || "(yaml)"}: ${p.message}`,
    );
    fail(lines.join("\n"));
  }
  return { text, doc: parsed.doc };
}

const validate = defineCommand({
  meta: {
    name: "validate",
    description: "Validate an operators' document; print each problem with its line.",
  },
  args: { file: { type: "positional", required: true, description: "YAML document" } },
  run({ args }) {
    const { doc } = readDocument(args.file);
    const counts = `${doc.services.length} services, ${doc.routes.length} routes`;
    process.stdout.write(`${args.file}: valid, ${counts}\n`);
  },
});

const apply = defineCommand({
  meta: {
    name: "apply",
    description:
      "Send a document to control, which applies it if the current version is the expected one.",
  },
  args: {
    file: { type: "positional", required: true, description: "YAML document" },
    control: {
      type: "string",
      default: "127.0.0.1:7400",
      description: "Control replicas, host:port,host:port",
    },
    expect: { type: "string", description: "Expected current version (default: read it first)" },
    version: {
      type: "string",
      description: "Version to assign to the document (default: the next)",
    },
    "request-id": { type: "string", description: "Reuse to resend the same change safely" },
  },
  async run({ args }) {
    const { text } = readDocument(args.file);
    const requestId = args["request-id"] ?? randomUUID();
    const expected = args.expect !== undefined ? Number(args.expect) : undefined;
    const replicas = args.control.split(",");
    const version = args.version !== undefined ? Number(args.version) : undefined;
    const reply = await applyAtLeader(replicas, text, expected, requestId, version).catch(
      (err: unknown) =>
        fail(`${err instanceof Error ? err.message : String(err)} (request id ${requestId})`),
    );
    if (reply.outcome !== "accepted") {
      fail(`${reply.outcome}: ${reply.message} (request id ${requestId})`);
    }
    process.stdout.write(`accepted as version ${reply.version} (request id ${requestId})\n`);
  },
});

/** Fetches a process's status, or another page of its admin server; exits with an error message when that fails. */
async function readStatus(admin: string, page = "status"): Promise<unknown> {
  try {
    const res = await fetch(`http://${admin}/${page}`);
    return await res.json();
  } catch (err) {
    const cause = err instanceof Error && err.cause instanceof Error ? err.cause : err;
    fail(`no status from ${admin}: ${cause instanceof Error ? cause.message : String(cause)}`);
  }
}

const ADMIN_ARG = {
  type: "string",
  default: "127.0.0.1:7500",
  description: "A sidecar's admin host:port",
} as const;

const status = defineCommand({
  meta: {
    name: "status",
    description: "Show a sidecar's configuration version, and its targets with their states.",
  },
  args: { admin: ADMIN_ARG },
  async run({ args }) {
    const body = (await readStatus(args.admin)) as {
      id: string;
      configVersion: number;
      members: number;
      targets: { id: string; service: string; state: string; zone: string; hopAddress: string }[];
    };
    process.stdout.write(
      `sidecar ${body.id}: config version ${body.configVersion}, ${body.members} members\n`,
    );
    for (const t of body.targets) {
      process.stdout.write(
        `  ${t.service.padEnd(24)} ${t.id.padEnd(16)} ${t.state.padEnd(9)} ${t.zone.padEnd(8)} ${t.hopAddress}\n`,
      );
    }
  },
});

const listQuarantine = defineCommand({
  meta: {
    name: "list",
    description:
      "List the requests that are suspected or found to crash the targets that run them.",
  },
  args: { admin: ADMIN_ARG },
  async run({ args }) {
    process.stdout.write(renderQuarantine(await readStatus(args.admin)));
  },
});

const release = defineCommand({
  meta: {
    name: "release",
    description: "Lift the suspicion of a request in the whole fleet, after its targets are fixed.",
  },
  args: {
    fingerprint: { type: "positional", required: true, description: "As shown by `list`" },
    admin: ADMIN_ARG,
  },
  async run({ args }) {
    const { fingerprint, admin } = args;
    const res = await fetch(`http://${admin}/v1/quarantine/release`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ fingerprint }),
    }).catch((err: unknown) => fail(`no answer from ${admin}: ${String(err)}`));
    if (!res.ok) {
      fail(`${fingerprint} is not under suspicion at ${admin}`);
    }
    process.stdout.write(`released ${fingerprint}\n`);
  },
});

const workspaces = defineCommand({
  meta: {
    name: "workspaces",
    description: "List the workspaces with their quotas, and how much of these was used.",
  },
  args: {
    admin: {
      type: "string",
      default: "127.0.0.1:7401",
      description: "Admin addresses of all control replicas, host:port,host:port",
    },
  },
  async run({ args }) {
    const replies = args.admin.split(",").map((admin) => readStatus(admin, "workspaces"));
    process.stdout.write(renderWorkspaces(await Promise.all(replies)));
  },
});

const explain = defineCommand({
  meta: {
    name: "explain",
    description: "Explain the outcome of a request from the logs of the processes.",
  },
  args: {
    attempt: { type: "positional", required: true, description: "The request's attempt id" },
    log: { type: "positional", required: true, description: "Log files, one or more" },
    json: { type: "boolean", default: false, description: "Print JSON" },
  },
  run({ args }) {
    // `args._` holds all positional arguments, including the ones declared above.
    const [attempt = "", ...files] = args._;
    const lines = files.flatMap((file) => parseLog(readText(file)));
    const timeline = explainRequest(attempt, lines);
    process.stdout.write(args.json ? `${JSON.stringify(timeline)}\n` : renderTimeline(timeline));
    if (timeline.steps.length === 0) {
      process.exitCode = 1;
    }
  },
});

const account = defineCommand({
  meta: {
    name: "account",
    description:
      "Account for the credit that requests lost, and why, from the logs of the processes.",
  },
  args: {
    log: { type: "positional", required: true, description: "Log files, one or more" },
    plot: { type: "string", description: "Write a plot of the losses over time to this SVG file" },
    json: { type: "boolean", default: false, description: "Print JSON, one request per line" },
  },
  run({ args }) {
    const lines = args._.flatMap((file) => parseLog(readText(file)));
    const requests = accountRequests(lines);
    if (args.plot !== undefined) {
      writeFileSync(args.plot, plotAccount(requests));
    }
    const json = () => requests.map((r) => `${JSON.stringify(r)}\n`).join("");
    process.stdout.write(args.json ? json() : renderAccount(requests));
    if (requests.length === 0) {
      process.exitCode = 1;
    }
  },
});

const main = defineCommand({
  meta: {
    name: "burdockpass",
    description: "Operate a burdockpass fleet through its configuration document.",
  },
  subCommands: {
    config: defineCommand({ meta: { name: "config" }, subCommands: { validate, apply } }),
    status,
    quarantine: defineCommand({
      meta: { name: "quarantine", description: "Requests that crash the targets that run them." },
      subCommands: { list: listQuarantine, release },
    }),
    workspaces,
    explain,
    account,
  },
});

void runMain(main);
