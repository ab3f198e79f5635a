import {createHash} from 'node:crypto';

/** Digest of a request's method, path and body. A later call with the same idempotency key must have the same digest. */
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
