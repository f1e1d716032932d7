import { connect } from "node:net";

/** Time after which a connection that is neither open nor refused is given up, ms. */
const TIMEOUT_MS = 300;

/**
 * Whether a process listens at the host and port of `url`. Only a refused connection shows that none does: a connection
 * that is not answered may be lost on its way.
 */
export function isListening(url: string): Promise<boolean> {
  const { hostname, port } = new URL(url);
  return new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port), timeout: TIMEOUT_MS });
    const end = (listens: boolean) => {
      socket.destroy();
      resolve(listens);
    };
    socket.once("connect", () => {
      end(true);
    });
    socket.once("timeout", () => {
      end(true);
    });
    socket.once("error", ({ code }: NodeJS.ErrnoException) => {
      end(code !== "ECONNREFUSED");
    });
  });
}
