import {randomUUID} from 'node:crypto';
import type {FastifyRequest} from 'fastify';

/** Returns the body of a request as text. */
export function bodyTextOf(req: FastifyRequest): string {
	return req.body instanceof Uint8Array
		? new TextDecoder().decode(req.body)
		: '';
}

/** Returns the request identifier from the `x-request-id` header, or a new one if the header is absent. */
export function requestIdOf(req: FastifyRequest): string {
	const id = req.headers['x-request-id'];
	return typeof id === 'string' ? id : randomUUID();
}
