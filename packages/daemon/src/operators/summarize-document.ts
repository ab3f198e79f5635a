import type {ConfigOp} from '@balsamtray/core';

const digestCharacters = 12;

/** Returns one line for the history that describes an applied document. */
export function summarizeDocument(
	digest: string,
	ops: readonly ConfigOp[],
): string {
	const puts = ops.filter(({op}) => op.startsWith('put')).length;
	const deletes = ops.filter(({op}) => op.startsWith('delete')).length;
	return `document ${digest.slice(0, digestCharacters)}: ${puts} added or changed, ${deletes} deleted`;
}
