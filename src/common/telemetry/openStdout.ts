import { constants, fstatSync, openSync, write, writeSync } from "node:fs";
import type { LogOutlet } from "./LogOutlet.ts";

const STDOUT = 1;

/**
 * The process's standard output, written without ever waiting for its reader. Node's
 * own stream blocks the loop on a full pipe. A pipe is opened again as non-blocking,
 * which changes nothing for those who share it; anything else, such as a file, is
 * written by a worker thread.
 */
export function openStdout(): LogOutlet {
  const pipe = reopenPipe();
  return pipe === undefined ? workerOutlet() : pipeOutlet(pipe);
}

function reopenPipe(): number | undefined {
  try {
    return fstatSync(STDOUT).isFIFO()
      ? openSync("/proc/self/fd/1", constants.O_WRONLY | constants.O_NONBLOCK)
      : undefined;
  } catch {
    return undefined; // No /proc here: a worker thread does as well, for a little more.
  }
}

function pipeOutlet(fd: number): LogOutlet {
  const tryWrite = (chunk: Buffer): number => {
    try {
      return writeSync(fd, chunk);
    } catch (err) {
      return isFull(err) ? 0 : chunk.length;
    }
  };
  return {
    write: (chunk, done) => {
      done(tryWrite(chunk));
    },
    writeNow: tryWrite,
  };
}

function workerOutlet(): LogOutlet {
  return {
    write: (chunk, done) => {
      write(STDOUT, chunk, (err, taken) => {
        done(err && !isFull(err) ? chunk.length : taken);
      });
    },
    writeNow: (chunk) => {
      try {
        writeSync(STDOUT, chunk);
      } catch {
        // The reader is gone, and so is the process next.
      }
    },
  };
}

function isFull(err: unknown): boolean {
  return (err as NodeJS.ErrnoException).code === "EAGAIN";
}
