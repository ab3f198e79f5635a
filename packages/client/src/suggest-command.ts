/** Maximum edit distance between a mistyped command and a suggested one. */
const maxEdits = 3;

/** Returns the command closest to the mistyped one, or undefined if none is within `maxEdits`. */
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
	return nearest !== undefined && nearest.edits > 0 && nearest.edits <= maxEdits
		? nearest.name
		: undefined;
}

/** Levenshtein distance of two strings. */
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
