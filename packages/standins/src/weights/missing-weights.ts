/** Whether the name marks weights that do not exist in any store. */
export function isMissing(weights: string): boolean {
	return weights.startsWith('missing');
}
