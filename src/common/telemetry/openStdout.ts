import { constants, fstatSync, openSync, write, writeSync } from "node:fs";
import type { LogSink } from "./LogSink.ts";

const STDOUT = 1;

/**
 * Opens the process's standard output for writes that never wait for the reader;
 * Node's own stream blocks the event loop when a pipe is full. A pipe is reopened as
 * non-blocking, which does not affect other processes that share it. Anything else,
 * such as a file, is written asynchronously by a worker thread.
 */
export function openStdout(): LogSink {
  const pipe = reopenPipe();
  return pipe === undefined ? createWorkerSink() : createPipeSink(pipe);
}

function reopenPipe(): number | undefined {
  try {
    return fstatSync(STDOUT).isFIFO()
      ? openSync("/proc/self/fd/1", constants.O_WRONLY | constants.O_NONBLOCK)
      : undefined;
  } catch {
    return undefined; // No /proc on this system: a worker thread works too, at slightly higher cost.
  }
}

function createPipeSink(fd: number): LogSink {
  const tryWrite = (chunk: Buffer): number => {
    try {
      return writeSync(fd, chunk);
    } catch (err) {
      return isPipeFull(err) ? 0 : chunk.length;
    }
  };
  return {
    write: (chunk, done) => {
      done(tryWrite(chunk));
    },
    writeNow: tryWrite,
  };
}

function createWorkerSink(): LogSink {
  return {
    write: (chunk, done) => {
      write(STDOUT, chunk, (err, written) => {
        done(err && !isPipeFull(err) ? chunk.length : written);
      });
    },
    writeNow: (chunk) => {
      try {
        writeSync(STDOUT, chunk);
      } catch {
        // The reader is gone, and the process is about to end.
      }
    },
  };
}

function isPipeFull(err: unknown): boolean {
  return (err as NodeJS.ErrnoException).code === "EAGAIN";
}
