import { createServer } from "node:net";

/** A stand-in for a machine of the platform: a loopback address, with the same ports on each machine. */
export interface Machine {
  readonly name: string;
  readonly zone: string;
  readonly ip: string;
}

/** The ports of the platform, the same on every machine. */
export interface Ports {
  readonly peer: number;
  readonly control: number;
  readonly inbound: number;
  readonly ready: number;
  readonly outbound: number;
  readonly app: number;
}

const ADMIN_PORT = 9464;

/** Chooses loopback addresses on which the platform's ports are free. */
export async function chooseAddresses(count: number): Promise<{ ips: string[]; ports: Ports }> {
  for (let n = 0; n < 50; n++) {
    const subnet = `127.${10 + draw(240)}.${draw(250)}`;
    const ips = Array.from({ length: count }, (_, i) => `${subnet}.${i + 10}`);
    const base = 20_000 + draw(10_000);
    const ports = {
      peer: base,
      control: base + 20,
      inbound: base + 24,
      ready: base + 25,
      outbound: base + 29,
      app: base + 28,
    };
    const wanted = [...Object.values(ports), ADMIN_PORT];
    const checks = ips.flatMap((ip) => wanted.map((port) => isFree(ip, port)));
    if ((await Promise.all(checks)).every(Boolean)) {
      return { ips, ports };
    }
  }
  throw new Error("no free loopback addresses");
}

function draw(below: number): number {
  return Math.floor(Math.random() * below);
}

function isFree(ip: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => {
      resolve(false);
    });
    server.listen(port, ip, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
