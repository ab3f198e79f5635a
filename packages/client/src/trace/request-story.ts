import type {LogLine} from './log-lines.js';

/** Time before a request's arrival from which lines may bear on it, in milliseconds: the longest bounds are 5 s. */
const lookBackMs = 5000;

/** Lines of the entry itself that tell what it believed. */
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

/** Lines that bear on a request, oldest first. Empty where no line names the request. */
export function storyOf(
	id: string,
	lines: readonly LogLine[],
): readonly LogLine[] {
	const ends = lines.filter(
		({event, fields}) => event === 'request' && fields.id === id,
	);
	const concerned = new Set(ends.flatMap(end => linesAbout(end, lines)));
	return lines.filter(line => concerned.has(line));
}

function linesAbout(
	end: LogLine,
	lines: readonly LogLine[],
): readonly LogLine[] {
	const from = end.time - numberIn(end.fields.totalMs) - lookBackMs;
	const {adapter} = end.fields;
	const servers = serversIn(end.fields.sends);
	return lines.filter(
		line =>
			line === end ||
			(line.time >= from &&
				line.time <= end.time &&
				(isOfEntry(line, end) ||
					isAboutServer(line, servers) ||
					isOrderOf(line, adapter))),
	);
}

function isOfEntry(line: LogLine, end: LogLine): boolean {
	return line.host === end.host && entryEvents.has(line.event);
}

function isAboutServer(
	{event, fields}: LogLine,
	servers: ReadonlySet<string>,
): boolean {
	return (
		event === 'serverChanged' &&
		typeof fields.server === 'string' &&
		servers.has(fields.server)
	);
}

function isOrderOf({event, fields}: LogLine, adapter: unknown): boolean {
	return (
		event === 'order' &&
		typeof adapter === 'string' &&
		typeof fields.target === 'string' &&
		fields.target.startsWith(`${adapter}@`)
	);
}

/** Servers of sends, which read `SERVER: OUTCOME`. */
function serversIn(sends: unknown): ReadonlySet<string> {
	const texts = Array.isArray(sends) ? sends : [];
	return new Set(texts.map(text => String(text).split(':', 1)[0] ?? ''));
}

function numberIn(value: unknown): number {
	return typeof value === 'number' ? value : 0;
}

/** One line for a reader, with the time before the request's end. */
export function describeLine(line: LogLine, endsAt: number): string {
	const details = Object.entries(line.fields)
		.filter(([name]) => name !== 'now' && name !== 'id')
		.map(([name, value]) => `${name}=${JSON.stringify(value)}`);
	const offset = `${(line.time - endsAt).toString()} ms`.padStart(10);
	return [offset, line.host, line.event, ...details].join('  ');
}
