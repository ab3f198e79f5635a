/** Most edits between a mistyped command and one that is suggested. */
const mostEdits = 3;

/** Returns the command that is nearest to the mistyped words, if one is near enough. */
export function suggestCommand(
	args: readonly string[],
	paths: ReadonlyArray<readonly string[]>,
): string | undefined {
	const words = args.filter(arg => !arg.startsWith('-'));
	const [nearest] = paths
		.map(path => ({
			name: path.join(' '),
			edits: editDistance(
				words.slice(0, path.length).join(' '),
				path.join(' '),
			),
		}))
		.toSorted((a, b) => a.edits - b.edits);
	return nearest !== undefined &&
		nearest.edits > 0 &&
		nearest.edits <= mostEdits
		? nearest.name
		: undefined;
}

/** Levenshtein distance of two words. */
function editDistance(left: string, right: string): number {
	let row = Array.from({length: right.length + 1}, (_, i) => i);
	for (const [i, leftChar] of [...left].entries()) {
		const next = [i + 1];
		for (const [j, rightChar] of [...right].entries()) {
			const replaced = (row[j] ?? 0) + (leftChar === rightChar ? 0 : 1);
			const deleted = (row[j + 1] ?? 0) + 1;
			const inserted = (next[j] ?? 0) + 1;
			next.push(Math.min(replaced, deleted, inserted));
		}

		row = next;
	}

	return row.at(-1) ?? 0;
}
