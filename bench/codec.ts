/**
 * Measures the processor time that encoding and decoding of the most frequent datagrams takes: `node --import tsx
 * bench/codec.ts`. Not a test.
 */
import { BURDOCKPASS_SCHEMA } from "../src/common/rpc/proto/BURDOCKPASS_SCHEMA.ts";
import { MessageCodec } from "../src/common/rpc/proto/MessageCodec.ts";

const RUNS = 40_000;
const WARM_UP_RUNS = 2000;

const member = (n: number) => ({
  sidecar_id: `m${n}-vm-17`,
  peer_address: `10.0.${n}.1:7600`,
  zone: "z1",
  revision: 3,
  incarnation: 1_796_377_845_561,
  targets: [
    {
      target_id: `t${n}-abc`,
      service: "lookup",
      url: `http://10.0.${n}.1:80`,
      slots: 6,
      state: "ready",
      born: 1_796_377_845_999,
    },
  ],
  hop_address: "7603",
});

const gossip = (count: number) => ({
  sender: "m1-vm-17",
  members: Array.from({ length: count }, (_, n) => member(n)),
  checksum: 4_000_000_000,
  config_version: 7,
});

const DATAGRAMS = {
  "probe with 8 rumors": { id: 12, probe: gossip(8) },
  "reply without rumors": { id: 12, answer: gossip(0) },
  "slot request": {
    gate: {
      ask_id: 77,
      ask: {
        attempt: "0123456789abcdef",
        target: "t5-abc",
        priority: 1,
        remaining: 8000,
        objective: 1600,
        typical: 450,
        body: 1200,
      },
    },
  },
  "slot granted": {
    gate: {
      ask_id: 77,
      reply: {
        grant: "g-0123456789",
        load: { slots: 6, busy: 3, queued: 1, service: 450, pace: 80, risk: 2 },
      },
    },
  },
};

/** Processor time of one run of `work`, µs. */
function measure(work: () => void): string {
  for (let n = 0; n < WARM_UP_RUNS; n++) {
    work();
  }
  const before = process.cpuUsage();
  for (let n = 0; n < RUNS; n++) {
    work();
  }
  const { user, system } = process.cpuUsage(before);
  return `${((user + system) / RUNS).toFixed(2)} µs`;
}

const codec = new MessageCodec(BURDOCKPASS_SCHEMA);
console.log("| datagram | bytes | encode | decode |\n| --- | --- | --- | --- |");
for (const [name, message] of Object.entries(DATAGRAMS)) {
  const bytes = codec.encode("Datagram", message);
  const encode = measure(() => codec.encode("Datagram", message));
  const decode = measure(() => codec.decode("Datagram", bytes));
  console.log(`| ${name} | ${bytes.length} | ${encode} | ${decode} |`);
}
