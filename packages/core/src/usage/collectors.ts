/** Number of entries that collect contributions: the holder, and the one that would take over. */
export const collectorCount = 2;

/**
 * The entries to which contributions go, the holder of the duty first if it is known.
 *
 * @param order known entries in the order in which they would take over
 */
export function collectorsOf(
	holder: string | undefined,
	order: readonly string[],
): readonly string[] {
	const others = order.filter(id => id !== holder);
	return [...(holder === undefined ? [] : [holder]), ...others].slice(
		0,
		collectorCount,
	);
}
