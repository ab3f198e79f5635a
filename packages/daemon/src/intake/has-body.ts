import type {IncomingMessage} from 'node:http';

/** Whether a request has a body, by its headers. */
export function hasBody({headers}: IncomingMessage): boolean {
	return (
		headers['transfer-encoding'] !== undefined ||
		Number(headers['content-length'] ?? 0) > 0
	);
}
