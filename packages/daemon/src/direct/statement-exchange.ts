import type {AuthorityRow, AuthorityView} from '@balsamtray/core';
import {storeTimeoutMs} from './constants.js';
import {HttpClient} from './http-client.js';
import type {TextResponse} from './text-server.js';
import type {Endpoint} from './types.js';

/** Path on which entries serve their authority statements to each other. */
const statementsPath = '/statements';

/** Serves the authority statements to other entries and fetches theirs, which keeps them current without the store. */
export class StatementExchange {
	static create(authority: AuthorityView): StatementExchange {
		return new StatementExchange(authority);
	}

	private readonly _client = HttpClient.create(1);

	private constructor(private readonly _authority: AuthorityView) {}

	responseFor(path: string): TextResponse {
		return path === statementsPath
			? {
					status: 200,
					contentType: 'application/json',
					body: JSON.stringify(this._authority.rows()),
				}
			: {status: 404, contentType: 'text/plain', body: 'not found'};
	}

	async fetch(endpoint: Endpoint): Promise<readonly AuthorityRow[]> {
		const {status, body} = await this._client.call({
			endpoint,
			method: 'GET',
			path: statementsPath,
			timeoutMs: storeTimeoutMs,
		});
		if (status !== 200) {
			throw new Error(
				`statements from ${endpoint.host}: unexpected status ${status}`,
			);
		}

		const rows: unknown = JSON.parse(body);
		if (!Array.isArray(rows)) {
			throw new TypeError(
				`statements from ${endpoint.host}: expected an array`,
			);
		}

		return rows as readonly AuthorityRow[];
	}
}
