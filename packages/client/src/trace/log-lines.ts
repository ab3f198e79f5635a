/** A line of a daemon's log. */
export type LogLine = {
	/** Milliseconds since the epoch, by the clock of the host. */
	readonly time: number;
	readonly host: string;
	readonly event: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

/** The lines of log files, and how many could not be read as such. */
export type ReadLines = {
	readonly lines: readonly LogLine[];
	/** Lines of other programs, or cut in half. */
	readonly skipped: number;
};

/** Reads the text of log files. Other text before a line's object is passed over. */
export function readLines(texts: readonly string[]): ReadLines {
	const lines: LogLine[] = [];
	let skipped = 0;
	for (const text of texts.flatMap(file => file.split('\n'))) {
		const line = parseLine(text);
		if (line !== undefined) {
			lines.push(line);
		} else if (text.trim() !== '') {
			skipped++;
		}
	}

	return {lines: lines.toSorted((a, b) => a.time - b.time), skipped};
}

function parseLine(text: string): LogLine | undefined {
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	let value: unknown;
	try {
		value = JSON.parse(text.slice(start));
	} catch {
		return undefined;
	}

	if (typeof value !== 'object' || value === null) {
		return undefined;
	}

	const {time, host, event, ...fields}: Record<string, unknown> = {...value};
	return typeof time === 'number' &&
		typeof host === 'string' &&
		typeof event === 'string'
		? {time, host, event, fields}
		: undefined;
}
