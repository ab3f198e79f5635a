import {Pool, type Dispatcher} from 'undici';
import {z} from 'zod';
import type {CallResult} from './call-result.js';

const bytesSchema = z.instanceof(Uint8Array);
const defaultTimeoutMs = 60_000;

/** An HTTP request to an entry. */
export type Call = {
	readonly method?: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	/** A string is sent as it is, any other value as JSON. */
	readonly body?: unknown;
	/** Called for each received chunk of the body with all text received so far. */
	readonly onText?: (text: string) => void;
	readonly signal?: AbortSignal;
};

/** A chat completion request. */
export type CompletionCall = {
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens?: number;
	readonly isStreamed?: boolean;
	readonly headers?: Readonly<Record<string, string>>;
	readonly onText?: (text: string) => void;
	readonly signal?: AbortSignal;
};

/** Options of a `Caller`. */
export type CallerOptions = {
	readonly url: string;
	/** Secret of the API key. If absent, requests carry no `authorization` header. */
	readonly key?: string;
	/** Maximum number of open connections; 64 by default. */
	readonly connections?: number;
};

/** HTTP client of an entry's caller API, with its own connection pool. */
export class Caller {
	static create(options: CallerOptions): Caller {
		return new Caller(options);
	}

	private readonly _pool: Pool;
	private readonly _key: string | undefined;

	private constructor({url, key, connections = 64}: CallerOptions) {
		this._key = key;
		this._pool = new Pool(url, {
			connections,
			headersTimeout: defaultTimeoutMs,
			bodyTimeout: defaultTimeoutMs,
		});
	}

	/** Sends a chat completion request. `maxTokens` is 8 by default. */
	async complete(call: CompletionCall): Promise<CallResult> {
		const {model, prompt, maxTokens = 8, isStreamed = false} = call;
		return this.call({
			...call,
			method: 'POST',
			path: '/v1/chat/completions',
			body: {
				model,
				messages: [{role: 'user', content: prompt}],
				max_tokens: maxTokens,
				stream: isStreamed,
			},
		});
	}

	/** Sends one request and reads the whole response. Never throws; errors are part of the result. */
	async call(call: Call): Promise<CallResult> {
		const sentAt = Date.now();
		let res: Dispatcher.ResponseData;
		try {
			res = await this._pool.request(this._requestOf(call));
		} catch (error) {
			return {
				headers: {},
				text: '',
				isEnded: false,
				error: String(error),
				sentAt,
				endedAt: Date.now(),
			};
		}

		const body = await readBody(res, call.onText);
		return {
			status: res.statusCode,
			headers: res.headers,
			...body,
			sentAt,
			endedAt: Date.now(),
		};
	}

	async close(): Promise<void> {
		await this._pool.destroy();
	}

	private _requestOf(call: Call): Dispatcher.RequestOptions {
		const {method = 'GET', path, headers = {}, body, signal} = call;
		return {
			method,
			path,
			headers: {
				...(body !== undefined && {'content-type': 'application/json'}),
				...(this._key !== undefined && {authorization: `Bearer ${this._key}`}),
				...headers,
			},
			...(signal !== undefined && {signal}),
			...(body !== undefined && {
				body: typeof body === 'string' ? body : JSON.stringify(body),
			}),
		};
	}
}

async function readBody(
	res: Dispatcher.ResponseData,
	onText: ((text: string) => void) | undefined,
): Promise<Pick<CallResult, 'text' | 'isEnded' | 'error'>> {
	let text = '';
	try {
		const decoder = new TextDecoder();
		for await (const part of res.body) {
			text += decoder.decode(bytesSchema.parse(part), {stream: true});
			onText?.(text);
		}

		return {text, isEnded: true};
	} catch (error) {
		return {text, isEnded: false, error: String(error)};
	}
}
