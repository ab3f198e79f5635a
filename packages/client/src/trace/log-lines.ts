/** One structured log line of a daemon. */
export type LogLine = {
	/** Wall-clock time of the host, in milliseconds since the epoch. */
	readonly time: number;
	readonly host: string;
	readonly event: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

/** The parsed lines of log files, sorted by time. */
export type ParsedLog = {
	readonly lines: readonly LogLine[];
	/** Number of lines that are truncated or come from other programs. */
	readonly skipped: number;
};

/** Parses the contents of log files. Ignores any text before the JSON object of a line. */
export function parseLog(texts: readonly string[]): ParsedLog {
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
