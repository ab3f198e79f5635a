import type {
	AuthorityRow,
	AuthorityView,
	PartSuspectEntry,
	QuarantinedRequest,
	ServerChange,
} from '@balsamtray/core';
import {maxTableBytes, storeTimeoutMs} from './constants.js';
import {HttpClient} from './http-client.js';
import type {TableCopy} from './relayed-table.js';
import type {TextResponse} from './text-server.js';
import type {Endpoint, MemberRow} from './types.js';

/** Paths on which entries serve their copies of tables to each other. */
const paths = {
	statements: '/statements',
	servers: '/servers',
	members: '/members',
	suspects: '/suspects',
	quarantinedRequests: '/quarantined-requests',
} as const;

export type TableExchangeOptions = {
	readonly authority: AuthorityView;
	readonly servers: () => TableCopy<ServerChange> | undefined;
	readonly members: () => TableCopy<MemberRow> | undefined;
	/** Evidence on parts of prompts that may crash servers. */
	readonly suspects: () => readonly PartSuspectEntry[];
	/** Requests that have crashed servers. */
	readonly quarantinedRequests: () => readonly QuarantinedRequest[];
};

/** Serves this entry's copies of the store's tables to other entries and fetches theirs. */
export class TableExchange {
	static create(options: TableExchangeOptions): TableExchange {
		return new TableExchange(options);
	}

	private readonly _client = HttpClient.create(1);

	private constructor(private readonly _options: TableExchangeOptions) {}

	responseFor(path: string): TextResponse {
		const {authority, servers, members, suspects, quarantinedRequests} =
			this._options;
		switch (path) {
			case paths.statements: {
				return jsonResponse(authority.rows());
			}

			case paths.servers: {
				return jsonResponse(servers());
			}

			case paths.members: {
				return jsonResponse(members());
			}

			case paths.suspects: {
				return jsonResponse(suspects());
			}

			case paths.quarantinedRequests: {
				return jsonResponse(quarantinedRequests());
			}

			default: {
				return {status: 404, contentType: 'text/plain', body: 'not found'};
			}
		}
	}

	async fetchStatements(from: Endpoint): Promise<readonly AuthorityRow[]> {
		const rows = await this._fetch(from, paths.statements);
		if (!Array.isArray(rows)) {
			throw new TypeError(`statements from ${from.host}: expected an array`);
		}

		return rows as readonly AuthorityRow[];
	}

	async fetchServers(from: Endpoint): Promise<TableCopy<ServerChange>> {
		return asTableCopy<ServerChange>(
			await this._fetch(from, paths.servers),
			from,
		);
	}

	async fetchMembers(from: Endpoint): Promise<TableCopy<MemberRow>> {
		return asTableCopy<MemberRow>(await this._fetch(from, paths.members), from);
	}

	async fetchSuspects(from: Endpoint): Promise<readonly PartSuspectEntry[]> {
		const entries = await this._fetch(from, paths.suspects);
		if (!Array.isArray(entries)) {
			throw new TypeError(`suspects from ${from.host}: expected an array`);
		}

		return entries as readonly PartSuspectEntry[];
	}

	/** Fetches the requests that an entry has quarantined. Their form is not checked. */
	async fetchQuarantinedRequests(from: Endpoint): Promise<readonly unknown[]> {
		const requests = await this._fetch(from, paths.quarantinedRequests);
		if (!Array.isArray(requests)) {
			throw new TypeError(
				`quarantined requests from ${from.host}: expected an array`,
			);
		}

		return requests as readonly unknown[];
	}

	private async _fetch(endpoint: Endpoint, path: string): Promise<unknown> {
		const {status, body} = await this._client.call({
			endpoint,
			method: 'GET',
			path,
			timeoutMs: storeTimeoutMs,
			maxBodyBytes: maxTableBytes,
		});
		if (status !== 200) {
			throw new Error(
				`${path} from ${endpoint.host}: unexpected status ${status}`,
			);
		}

		return JSON.parse(body) as unknown;
	}
}

function jsonResponse(value: unknown): TextResponse {
	return value === undefined
		? {status: 503, contentType: 'text/plain', body: 'not read yet'}
		: {
				status: 200,
				contentType: 'application/json',
				body: JSON.stringify(value),
			};
}

function asTableCopy<Row>(value: unknown, from: Endpoint): TableCopy<Row> {
	if (!isTableCopy<Row>(value)) {
		throw new TypeError(`copy of a table from ${from.host}: malformed`);
	}

	return value;
}

/** Checks the form of a copy, but not its rows, which the sender has decoded. */
function isTableCopy<Row>(value: unknown): value is TableCopy<Row> {
	return (
		typeof value === 'object' &&
		value !== null &&
		'rows' in value &&
		Array.isArray(value.rows) &&
		'revision' in value &&
		typeof value.revision === 'number' &&
		'ageMs' in value &&
		typeof value.ageMs === 'number' &&
		'version' in value &&
		typeof value.version === 'number' &&
		(!('era' in value) || typeof value.era === 'number')
	);
}
