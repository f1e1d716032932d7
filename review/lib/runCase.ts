import { CaseRecord } from "./CaseRecord.ts";
import { Platform } from "./Platform.ts";

/** The parts that a case works with. */
export interface CaseContext {
  readonly record: CaseRecord;
  /** False with `TROUBLE=0`: the same without the disruption. */
  readonly hasTrouble: boolean;
  /** Starts the platform; it is ended with the case. */
  readonly startPlatform: (services: readonly string[]) => Promise<Platform>;
}

/**
 * Runs a case, which resolves with whether the rule was broken, and ends the process with 1 if it was, 0 if it held and
 * 2 if the case could not run.
 */
export async function runCase(play: (ctx: CaseContext) => Promise<boolean>): Promise<void> {
  const record = new CaseRecord(process.argv[2] ?? ".");
  const hasTrouble = process.env.TROUBLE !== "0";
  let platform: Platform | undefined;
  const startPlatform = async (services: readonly string[]) => {
    platform = await Platform.start(services);
    return platform;
  };
  let code = 2;
  try {
    record.report(hasTrouble ? "with the disruption" : "without the disruption");
    code = (await play({ record, hasTrouble, startPlatform })) ? 1 : 0;
    record.report(code === 1 ? "the rule was broken" : "the rule held");
  } catch (err) {
    record.report(`the case could not run: ${err instanceof Error ? err.message : String(err)}`);
  }
  await platform?.dispose();
  record.save();
  process.exit(code);
}
