import type { ProtoTypes } from "./ProtoTypes.ts";

type ConfigVersion = ProtoTypes["ConfigVersion"];

/** Characters in a part: a congested link carries one in well under a second. */
const PART_LENGTH = 32 * 1024;

/**
 * A version in parts, each a message of its own, so that its receiver sees progress while a long one is on its way.
 * {@link VersionParts} joins them.
 */
export function splitVersion(whole: ConfigVersion): ConfigVersion[] {
  const field = whole.document === "" ? "edit" : "document";
  const texts = split(whole[field]);
  return texts.map((text, at) => ({ ...whole, [field]: text, more: at < texts.length - 1 }));
}

function split(text: string): string[] {
  const parts: string[] = [];
  let from = 0;
  do {
    const to = endOfPart(text, from);
    parts.push(text.slice(from, to));
    from = to;
  } while (from < text.length);
  return parts;
}

/** Where the part ends that begins at `from`; not between the halves of a surrogate pair. */
function endOfPart(text: string, from: number): number {
  const to = from + PART_LENGTH;
  const last = text.charCodeAt(to - 1);
  const isHighSurrogate = last >= 0xd800 && last < 0xdc00;
  return isHighSurrogate ? to - 1 : to;
}
