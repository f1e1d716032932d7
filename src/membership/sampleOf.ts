/** Up to `limit` items from different indices of `pool`, drawn at random; `random` returns a number in [0, 1). */
export function sampleOf<T>(pool: readonly T[], limit: number, random: () => number): T[] {
  const indices = new Set<number>();
  while (indices.size < Math.min(limit, pool.length)) {
    let index = Math.floor(random() * pool.length);
    while (indices.has(index)) {
      index = (index + 1) % pool.length;
    }
    indices.add(index);
  }
  return [...indices].flatMap((index) => pool.slice(index, index + 1));
}
