import type {LogLine} from './log-lines.js';

/**
 * Time before a request's arrival from which related lines are included, in milliseconds. It covers the longest time
 * limits, which are 5 s.
 */
const lookbackMs = 5000;

/** Events that record the state of the entry: configuration, dependencies, readiness and lifecycle. */
const entryEvents = new Set([
	'configInForce',
	'authorityChanged',
	'dependencyLost',
	'dependencyRegained',
	'readiness',
	'suspended',
	'stopping',
	'started',
	'linesDropped',
]);

/** Returns the log lines that relate to a request, oldest first. Empty if no `request` line has the identifier. */
export function traceRequest(
	id: string,
	lines: readonly LogLine[],
): readonly LogLine[] {
	const requestLines = lines.filter(
		({event, fields}) => event === 'request' && fields.id === id,
	);
	const related = new Set(
		requestLines.flatMap(requestLine => findRelatedLines(requestLine, lines)),
	);
	return lines.filter(line => related.has(line));
}

function findRelatedLines(
	requestLine: LogLine,
	lines: readonly LogLine[],
): readonly LogLine[] {
	const from =
		requestLine.time - numberOrZero(requestLine.fields.totalMs) - lookbackMs;
	const {adapter} = requestLine.fields;
	const servers = parseServers(requestLine.fields.sends);
	return lines.filter(
		line =>
			line === requestLine ||
			(line.time >= from &&
				line.time <= requestLine.time &&
				(isEntryState(line, requestLine) ||
					isServerChange(line, servers) ||
					isAdapterOrder(line, adapter))),
	);
}

function isEntryState(line: LogLine, requestLine: LogLine): boolean {
	return line.host === requestLine.host && entryEvents.has(line.event);
}

function isServerChange(
	{event, fields}: LogLine,
	servers: ReadonlySet<string>,
): boolean {
	return (
		event === 'serverChanged' &&
		typeof fields.server === 'string' &&
		servers.has(fields.server)
	);
}

function isAdapterOrder({event, fields}: LogLine, adapter: unknown): boolean {
	return (
		event === 'order' &&
		typeof adapter === 'string' &&
		typeof fields.target === 'string' &&
		fields.target.startsWith(`${adapter}@`)
	);
}

/** Extracts the servers from `sends`, whose items have the form `SERVER: OUTCOME`. */
function parseServers(sends: unknown): ReadonlySet<string> {
	const texts = Array.isArray(sends) ? sends : [];
	return new Set(texts.map(text => String(text).split(':', 1)[0] ?? ''));
}

function numberOrZero(value: unknown): number {
	return typeof value === 'number' ? value : 0;
}

/** Formats a log line with its time relative to the end of the request. */
export function describeLine(line: LogLine, endsAt: number): string {
	const details = Object.entries(line.fields)
		.filter(([name]) => name !== 'now' && name !== 'id')
		.map(([name, value]) => `${name}=${JSON.stringify(value)}`);
	const offset = `${(line.time - endsAt).toString()} ms`.padStart(10);
	return [offset, line.host, line.event, ...details].join('  ');
}
