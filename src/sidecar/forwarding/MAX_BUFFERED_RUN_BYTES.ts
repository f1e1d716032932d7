/** Request bodies up to this size are buffered by the target's sidecar before the run, bytes; larger ones are streamed. */
export const MAX_BUFFERED_RUN_BYTES = 256 * 1024;
