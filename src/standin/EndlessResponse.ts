import type { Socket } from "node:net";
import { FaultMode } from "./FaultMode.ts";

/** Interval between the bytes of a response that is sent one byte at a time, ms. */
const TRICKLE_INTERVAL_MS = 20;

/** Size of the units that are written at once when a response is sent fast, bytes. */
const WRITE_BYTES = 64 * 1024;

const STATUS_LINE = "HTTP/1.1 200 OK\r\n";

/** Start of an endless response, given its echo header line, and the unit that is repeated after it. */
interface Pattern {
  readonly start: (echo: string) => string;
  readonly unit: string;
}

const chunkedHead = (echo: string) =>
  `${STATUS_LINE}${echo}content-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n`;

const PATTERNS: Readonly<Partial<Record<FaultMode, Pattern>>> = {
  [FaultMode.EndlessBody]: { start: chunkedHead, unit: `4000\r\n${"x".repeat(0x4000)}\r\n` },
  [FaultMode.EndlessHeaders]: { start: () => STATUS_LINE, unit: "x-filler: yyyyyyyyyyyyyyyy\r\n" },
  [FaultMode.EndlessStatusLine]: { start: () => "HTTP/1.1 200 ", unit: "O" },
  [FaultMode.EndlessInterim]: {
    start: () => "",
    unit: "HTTP/1.1 103 Early Hints\r\nlink: </style.css>; rel=preload\r\n\r\n",
  },
  [FaultMode.EndlessEmptyLines]: { start: () => "", unit: "\r\n" },
  [FaultMode.EndlessChunkExtension]: { start: (echo) => `${chunkedHead(echo)}5;`, unit: "x" },
  [FaultMode.EndlessTrailers]: {
    start: (echo) => `${chunkedHead(echo)}5\r\nhello\r\n0\r\n`,
    unit: "x-filler: yyyyyyyyyyyyyyyy\r\n",
  },
};

/** A response that never ends, written to the connection until the other side closes it. */
export class EndlessResponse {
  readonly #socket: Socket;
  readonly #pattern: Pattern;

  private constructor(socket: Socket, pattern: Pattern) {
    this.#socket = socket;
    this.#pattern = pattern;
  }

  /** Whether a fault mode makes responses endless. */
  static isMode(mode: FaultMode): boolean {
    return PATTERNS[mode] !== undefined;
  }

  /**
   * Writes the endless response of `mode` to `socket`.
   *
   * @param echo header line that echoes the request's id, or an empty string
   * @param trickles whether it is sent one byte at a time instead of as fast as the other side reads
   */
  static send(socket: Socket, mode: FaultMode, echo: string, trickles: boolean): void {
    const pattern = PATTERNS[mode];
    if (!pattern) {
      return;
    }
    const response = new EndlessResponse(socket, pattern);
    socket.on("error", () => undefined);
    socket.write(pattern.start(echo));
    if (trickles) {
      response.#trickle();
    } else {
      response.#flood();
    }
  }

  #flood(): void {
    const { unit } = this.#pattern;
    const block = unit.repeat(Math.ceil(WRITE_BYTES / unit.length));
    const writeNext = () => {
      if (!this.#socket.destroyed) {
        // Continues in another turn of the event loop, so that this process still serves its health endpoint.
        this.#socket.write(block, () => setImmediate(writeNext));
      }
    };
    writeNext();
  }

  #trickle(): void {
    const { unit } = this.#pattern;
    let at = 0;
    const timer = setInterval(() => {
      this.#socket.write(unit.charAt(at++ % unit.length));
    }, TRICKLE_INTERVAL_MS);
    this.#socket.once("close", () => {
      clearInterval(timer);
    });
  }
}
