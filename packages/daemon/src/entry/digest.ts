import {createHash} from 'node:crypto';

/** Digest of what a request asks: its method, path and body. */
export function digestOf(
	method: string,
	path: string,
	body: Uint8Array,
): string {
	return createHash('sha256')
		.update(`${method} ${path}\n`)
		.update(body)
		.digest('base64url');
}
