import {createServer} from 'node:http';
import {text} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';
import {ports} from './fleet.js';

const maxPending = 4;
const adapterPlaces = 17;
const adapterLoadMs = 250;

function onError(error) {
	console.error(error);
}

/** What all servers do: register in the store, answer for their identifier only, crash and start again. */
class Server {
	arrivals = [];
	#sockets = new Set();
	#server;

	constructor({fleet, id, host, zone, service, slots, version = '1.0'}) {
		this.fleet = fleet;
		this.id = id;
		this.host = host;
		this.zone = zone;
		this.service = service;
		this.slots = slots;
		this.version = version;
	}

	async start() {
		this.born = Date.now();
		this.sequence = 0;
		this.running = 0;
		this.#server = createServer((req, res) => {
			this.#handle(req, res).catch(onError);
		});
		this.#server.keepAliveTimeout = 60_000;
		// No page sets a number of header fields.
		this.#server.maxHeadersCount = 0;
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
		await new Promise(resolve => {
			this.#server.listen(ports.app, this.host, resolve);
		});
		this.register();
	}

	register() {
		this.fleet.store.put('servers', this.id, {
			service: this.service,
			address: `${this.host}:${ports.app}`,
			zone: this.zone,
			version: this.version,
			slots: this.slots,
			state: 'ready',
			coldLeftMs: 0,
			seq: this.sequence,
			born: this.born,
			...this.details(),
		});
	}

	details() {
		return {};
	}

	/** Ends without a word: connections are reset, and nothing listens. */
	crash() {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	answer(res, status, body, headers = {}) {
		res.writeHead(status, {'content-type': 'application/json', ...headers});
		res.end(JSON.stringify(body));
	}

	/** Turns a request away that has not run. */
	refuse(req, res, status) {
		this.answer(
			res,
			status,
			{},
			{
				'balsamtray-instance-id': this.id,
				'balsamtray-not-executed': '1',
				'balsamtray-attempt-id': req.headers['balsamtray-attempt-id'] ?? '',
			},
		);
	}

	responseHeaders(req) {
		const id = req.headers['balsamtray-attempt-id'];
		return {
			'balsamtray-attempt-id': id,
			'balsamtray-server-seal': `seal-of-${id}`,
			'balsamtray-server-load': `${this.running},0,${this.slots}`,
		};
	}

	async #handle(req, res) {
		let body;
		try {
			body = await text(req);
		} catch {
			return;
		}

		const expected = req.headers['balsamtray-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			this.refuse(req, res, 421);
		} else if (!this.handleOwn(req, res, body)) {
			this.arrivals.push({
				id: req.headers['balsamtray-attempt-id'],
				path: req.url,
				tenant: req.headers['balsamtray-tenant'],
				tokenCounts: req.headers['balsamtray-token-counts'],
				prefix: req.headers['balsamtray-prompt-prefix'],
				at: Date.now(),
			});
			await this.run(req, res, body);
		}
	}

	handleOwn() {
		return false;
	}
}

/** A server of a plain service. */
export class PlainServer extends Server {
	/** Called with each request; returns whether the request crashes the server. */
	crashesOn = () => false;
	/** Called with each request; returns whether the server has dropped its connection before. */
	hasDropped = () => false;
	/** Called with each request that has run; returns whether its connection is reset in place of the response. */
	resets = () => false;
	workMs = 15;

	async run(req, res, body) {
		if (this.crashesOn(req, body)) {
			this.crash();
			return;
		}

		if (this.hasDropped(req)) {
			req.socket.resetAndDestroy();
			return;
		}

		this.running++;
		await delay(this.workMs);
		this.running--;
		req.socket.idleSince = Date.now();
		if (this.resets(req)) {
			req.socket.resetAndDestroy();
		} else if (!res.destroyed) {
			res.writeHead(200, this.responseHeaders(req));
			res.end('x'.repeat(800));
		}
	}
}

/** A model server with one model, whose adapters are loaded by orders. */
export class Engine extends Server {
	events = 40;
	gapMs = 60;
	orders = {accepted: 0, unknownAdapter: 0, refused: 0};
	#adapters = new Map();
	#pending = new Set();

	constructor(options) {
		super({...options, service: 'drafter', slots: 64});
	}

	details() {
		return {stage: 'colocated', models: this.#models()};
	}

	handleOwn(req, res, body) {
		if (req.url === '/-/report') {
			this.answer(res, 200, {
				stage: 'colocated',
				born: this.born,
				models: this.#models(),
				pending: [...this.#pending].map(name => `m0/${name}@1`),
				busy: false,
				seq: this.sequence,
				queued: 0,
				running: this.running,
				kvUsed: this.running * 1500,
				kvTotal: 113_076,
				handles: 0,
			});
			return true;
		}

		if (req.url === '/-/order') {
			this.#order(res, JSON.parse(body));
			return true;
		}

		return false;
	}

	async run(req, res) {
		const [, adapter] = (req.headers['balsamtray-model'] ?? '').split('/');
		if (adapter !== undefined && !this.#adapters.has(adapter)) {
			this.refuse(req, res, 421);
			return;
		}

		this.running++;
		await delay(40);
		res.writeHead(200, {
			...this.responseHeaders(req),
			'content-type': 'text/event-stream',
		});
		const first = 1 + Number(req.headers['last-event-id'] ?? 0);
		const events = Number(req.headers['x-events'] ?? this.events);
		for (let i = first; i <= events && !res.destroyed; i++) {
			res.write(`id: ${i}\ndata: ${i} of ${this.version}\n\n`);
			// Events follow each other.
			// eslint-disable-next-line no-await-in-loop
			await delay(this.gapMs);
		}

		this.running--;
		res.end();
	}

	#models() {
		return [
			{
				name: 'm0',
				version: 1,
				adapters: [...this.#adapters.keys()].map(name => `${name}@1`),
			},
		];
	}

	#order(res, {operation, adapter, expected, holder, fencingToken}) {
		const status = this.#statusOf({
			operation,
			adapter,
			expected,
			holder,
			fencingToken,
		});
		if (status === 202 || (status === 200 && operation === 'unload')) {
			this.orders.accepted++;
			this.sequence++;
			if (operation === 'load') {
				this.#load(adapter).catch(onError);
			} else {
				this.#adapters.delete(adapter);
				this.register();
			}
		}

		this.answer(res, status, {});
	}

	#statusOf({operation, adapter, expected, holder, fencingToken}) {
		if (holder === undefined || fencingToken === undefined) {
			return 400;
		}

		if (expected !== undefined && expected !== this.sequence) {
			this.orders.refused++;
			return 409;
		}

		if (operation === 'unload') {
			return this.#adapters.has(adapter) ? 200 : 400;
		}

		// Adapters are named a1, a2, … a3000. An order for another one does not exist.
		const number = Number(
			/^a(?<number>[1-9]\d{0,3})$/v.exec(adapter)?.groups.number,
		);
		if (!(number <= 3000)) {
			this.orders.unknownAdapter++;
			return 400;
		}

		if (this.#adapters.has(adapter) || this.#pending.has(adapter)) {
			return 200;
		}

		if (this.#pending.size >= maxPending) {
			this.orders.refused++;
			return 409;
		}

		return 202;
	}

	async #load(adapter) {
		this.#pending.add(adapter);
		if (this.#adapters.size + this.#pending.size > adapterPlaces) {
			throw new Error(`${this.id} was ordered to load too many adapters`);
		}

		await delay(adapterLoadMs);
		this.#pending.delete(adapter);
		this.#adapters.set(adapter, true);
		this.register();
	}
}
