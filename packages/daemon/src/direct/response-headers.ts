import type {IncomingHttpHeaders} from 'node:http';

/** Headers that apply to a single connection and are not forwarded. */
const hopByHopHeaders = new Set([
	'connection',
	'keep-alive',
	'proxy-connection',
	'transfer-encoding',
	'upgrade',
	'te',
	'trailer',
]);

/**
 * Returns the headers of a server's response for the caller.
 *
 * @param isLast whether the response ends the connection
 */
export function responseHeaders(
	headers: IncomingHttpHeaders,
	isLast: boolean,
): Record<string, string | string[]> {
	const forwarded: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !hopByHopHeaders.has(name)) {
			forwarded[name] = value;
		}
	}

	if (isLast) {
		forwarded.connection = 'close';
	}

	return forwarded;
}
