import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import { VoterReplies } from "./VoterReplies.ts";

type DepartureReply = ProtoTypes["DepartureReply"];

/** Time after which a replica is asked again while there is no majority, ms: the group may have changed meanwhile. */
const RETRY_MS = 100;

/** A question to the control replicas. */
interface VoterQuestion {
  /** Addresses at which control replicas may be, as known at the time. */
  readonly addresses: () => readonly string[];
  /** Asks the replica at an address; rejects if it does not reply in time. */
  readonly ask: (address: string) => Promise<DepartureReply>;
  /** Whether a reply counts toward the majority. */
  readonly counts: (reply: DepartureReply) => boolean;
  readonly onReply?: (reply: DepartureReply) => void;
  /** Whether the result is no longer needed. */
  readonly isCancelled?: () => boolean;
  readonly timeoutMs: number;
  readonly clock: Clock;
}

/**
 * Asks control replicas until replies that count have come from a majority of the voters. Their addresses are learned from
 * the replies too, so that one reachable replica is enough to find the others. Resolves with false after the timeout.
 */
export function askVoters(question: VoterQuestion): Promise<boolean> {
  const { addresses, ask, counts, onReply, isCancelled, timeoutMs, clock } = question;
  return new Promise((resolve) => {
    const replies = new VoterReplies(counts);
    const asked = new Set<string>();
    let isOver = false;
    const end = (hasMajority: boolean) => {
      isOver = true;
      timer.cancel();
      resolve(hasMajority);
    };
    const timer = clock.timeout(timeoutMs, () => {
      end(false);
    });
    const isDone = () => isOver || isCancelled?.() === true;
    const askRepeatedly = async (address: string) => {
      while (!isDone()) {
        const reply = await ask(address).catch(() => undefined);
        if (isDone()) {
          break;
        }
        if (reply) {
          onReply?.(reply);
          replies.add(reply);
        }
        askOthers();
        if (replies.hasMajority) {
          end(true);
        }
        await new Promise<void>((wake) => clock.after(RETRY_MS, wake));
      }
      if (!isOver) {
        end(false);
      }
    };
    const askOthers = () => {
      for (const address of [...addresses(), ...replies.addresses]) {
        if (!asked.has(address)) {
          asked.add(address);
          void askRepeatedly(address);
        }
      }
    };
    askOthers();
  });
}
