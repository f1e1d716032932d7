import type { Clock } from "../../common/lifecycle/Clock.ts";

/**
 * Resolves with true once `needed` of the replies have arrived and count, with false once they cannot any more, or after
 * `timeoutMs`.
 *
 * @param counts whether a reply counts; replies that are rejected do not
 */
export function awaitReplies<T>(
  replies: readonly Promise<T>[],
  { needed, timeoutMs, clock }: { needed: number; timeoutMs: number; clock: Clock },
  counts: (reply: T) => boolean = () => true,
): Promise<boolean> {
  return new Promise((resolve) => {
    let counted = 0;
    let pending = replies.length;
    const timer = clock.timeout(timeoutMs, () => {
      resolve(false);
    });
    const resolveIfCertain = () => {
      if (counted >= needed || counted + pending < needed) {
        timer.cancel();
        resolve(counted >= needed);
      }
    };
    for (const reply of replies) {
      void reply
        .then(counts, () => false)
        .then((isCounted) => {
          pending -= 1;
          counted += isCounted ? 1 : 0;
          resolveIfCertain();
        });
    }
    resolveIfCertain();
  });
}
