import {StoreHttp} from './store-http.js';
import type {ObjectStore} from './types.js';

const okStatuses = [200, 201, 204];
const notFoundStatus = 404;
/** The object already exists: `if-none-match` did not hold. */
const preconditionFailedStatus = 412;

/** Options of `ObjectClient`. */
export type ObjectClientOptions = {
	readonly url: string;
	readonly timeoutMs: number;
};

/** Client of the platform's object store. Failed calls are thrown as `StoreError`. */
export class ObjectClient implements ObjectStore {
	static create(options: ObjectClientOptions): ObjectClient {
		return new ObjectClient(
			StoreHttp.create({peer: 'object store', ...options}),
		);
	}

	private constructor(private readonly _http: StoreHttp) {}

	/** Writes an object unless it exists. Names contain the digest of the content, so an existing object is the same. */
	async put(name: string, body: string): Promise<void> {
		await this._http.call({
			method: 'PUT',
			path: objectPath(name),
			headers: {
				'content-type': 'application/octet-stream',
				'if-none-match': '*',
			},
			body,
			statuses: [...okStatuses, preconditionFailedStatus],
		});
	}

	async get(name: string): Promise<string | undefined> {
		const {status, text} = await this._http.call({
			method: 'GET',
			path: objectPath(name),
			statuses: [...okStatuses, notFoundStatus],
		});
		return status === notFoundStatus ? undefined : text;
	}

	async close(): Promise<void> {
		await this._http.close();
	}
}

function objectPath(name: string): string {
	return `/v1/objects/${encodeURIComponent(name)}`;
}
