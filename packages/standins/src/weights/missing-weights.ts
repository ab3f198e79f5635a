/** Whether the weights are named so that no store has them. */
export function isMissing(weights: string): boolean {
	return weights.startsWith('missing');
}
