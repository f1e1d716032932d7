/** Up to `most` different items of `pool`, drawn at random; `random` gives [0, 1). */
export function sampleOf<T>(pool: readonly T[], most: number, random: () => number): T[] {
  const places = new Set<number>();
  while (places.size < Math.min(most, pool.length)) {
    let at = Math.floor(random() * pool.length);
    while (places.has(at)) {
      at = (at + 1) % pool.length;
    }
    places.add(at);
  }
  return [...places].flatMap((at) => pool.slice(at, at + 1));
}
