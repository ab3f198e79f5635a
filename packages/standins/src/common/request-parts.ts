import {randomUUID} from 'node:crypto';
import type {FastifyRequest} from 'fastify';

/** Body of a request as text. */
export function bodyTextOf(req: FastifyRequest): string {
	return req.body instanceof Uint8Array
		? new TextDecoder().decode(req.body)
		: '';
}

/** Identifier that the caller gave its request, or a new one. */
export function requestIdOf(req: FastifyRequest): string {
	const id = req.headers['x-request-id'];
	return typeof id === 'string' ? id : randomUUID();
}
