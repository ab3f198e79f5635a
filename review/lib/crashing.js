import {setTimeout as delay} from 'node:timers/promises';
import {bounds, configOf, routeOf} from './fleet.js';
import {answerWith, Server} from './server.js';

const entryZones = ['z1', 'z1', 'z2', 'z3'];
const serverZones = ['z1', 'z2', 'z3'];
const serverPort = 20_000;
const service = 'booking-desk';
const workMs = 50;
const soundIntervalMs = 50;
const crashingPath = '/stock/crashes';

/** Retries that the rule allows later than `contactMs` after the third crash. */
export const maxRetries = 3;

/** An installation to which a request comes again and again that crashes each server that begins to run it. */
export class CrashingInstallation {
	/**
	 * @param options.how how servers end: `reset` or `dark`
	 * @param options.absentMs time after which a crashed server is back, in milliseconds
	 * @param options.intervalMs interval at which the request comes again, in milliseconds
	 */
	static async start(fleet, record, options) {
		const installation = new CrashingInstallation(fleet, record, options);
		await installation._start();
		return installation;
	}

	constructor(fleet, record, options) {
		this._fleet = fleet;
		this._record = record;
		this._options = options;
		this._crashes = [];
		this._arrivals = [];
		this._calls = new Map();
		this._outcomes = new Map();
		this._lost = 0;
		this._troubles = entryZones.map(() => []);
		this._pending = [];
		this._serverCount = 0;
		this._orders = 0;
		this._turns = new Map();
		this._isEnding = false;
	}

	get entries() {
		return [...entryZones.keys()];
	}

	/** Stops an entry by SIGTERM, waits for its end and starts it again. */
	async restart(index) {
		const trouble = {from: this._fleet.now(), to: Number.POSITIVE_INFINITY};
		this._troubles[index].push(trouble);
		const {child, ended} = this._fleet.entry(index);
		this._record.write(`${trouble.from} ms: SIGTERM to entry ${index}`);
		child.kill('SIGTERM');
		const {code, at} = await ended;
		this._record.write(`${at} ms: entry ${index} has ended, code ${code}`);
		this._fleet.startEntry(index, entryZones[index], false);
		await this._fleet.waitUntilReady(index);
		trouble.to = this._fleet.now();
		this._record.write(`${trouble.to} ms: entry ${index} is ready again`);
	}

	/** Ends the traffic. Returns whether the rule was broken. */
	async end() {
		for (const timer of this._timers) {
			clearInterval(timer);
		}

		this._isEnding = true;
		await Promise.all(this._pending);
		for (const {id, server, at} of this._crashes) {
			this._record.write(`${at} ms: ${id} crashed server ${server}`);
		}

		for (const [kind, count] of this._outcomes) {
			this._record.write(`${count} x ${kind}`);
		}

		const third = this._crashes[2]?.at ?? Number.POSITIVE_INFINITY;
		const late = this._arrivals.filter(
			({id, at}) =>
				at > third + bounds.contactMs &&
				this._isInTouch(this._calls.get(id), at),
		);
		for (const {id, server, at} of late) {
			this._record.write(
				`late: ${id} from entry ${this._calls.get(id)} reached server ${server} ${at - third} ms after the third crash`,
			);
		}

		this._record.write(
			`${this._crashes.length} crashes, ${late.length} late retries at servers, ${maxRetries} allowed; ${this._lost} bookings that a server had begun were broken off by crashes`,
		);
		return late.length > maxRetries;
	}

	async _start() {
		const fleet = this._fleet;
		await Promise.all(
			serverZones.map(async (_, index) => this._startServer(index)),
		);
		fleet.store.put(
			'op',
			'config',
			configOf(1, {
				routes: [
					routeOf({
						name: 'stock-check',
						prefix: '/stock/',
						routeKind: 'idempotent',
						service,
					}),
					routeOf({
						name: 'book-mats',
						prefix: '/book/',
						routeKind: 'non_idempotent',
						service,
					}),
				],
				services: [{name: service, healthPath: '/health', maxConns: 100}],
			}),
		);
		await Promise.all(
			this.entries.map(async index => {
				fleet.startEntry(index, entryZones[index]);
				await fleet.waitUntilReady(index);
			}),
		);
		await delay(bounds.contactMs + 500);
		this._timers = [
			setInterval(() => {
				this._send(crashingPath, 'GET');
			}, this._options.intervalMs),
			setInterval(() => {
				this._send('/book/mats', 'POST');
			}, soundIntervalMs),
		];
	}

	async _startServer(index) {
		const {_fleet: fleet} = this;
		const running = new Set();
		const server = await Server.start({
			id: `i-${(++this._serverCount).toString(16).padStart(8, '0')}`,
			host: fleet.hostOf(31 + index),
			port: serverPort,
			service,
			zone: serverZones[index],
			store: fleet.store,
			born: Date.now(),
			answer: ({id, url, res}) => {
				const isCrashing = url === crashingPath;
				if (isCrashing) {
					this._arrivals.push({id, server: server.id, at: fleet.now()});
				}

				running.add(id);
				setTimeout(() => {
					if (server.hasCrashed) {
						return;
					}

					running.delete(id);
					if (isCrashing) {
						this._crash(server, index, id, running.size);
					} else {
						answerWith(res, id, 'booked');
					}
				}, workMs);
			},
		});
		fleet.add(server);
	}

	_crash(server, index, id, lost) {
		this._lost += lost;
		this._crashes.push({id, server: server.id, at: this._fleet.now()});
		server.crash(this._options.how);
		setTimeout(() => {
			if (!this._isEnding) {
				this._track(this._startServer(index));
			}
		}, this._options.absentMs);
	}

	/** Sends a request to an entry that is in touch, in turn. */
	_send(path, method) {
		const entries = this.entries.filter(index =>
			this._isInTouch(index, this._fleet.now()),
		);
		const turn = this._turns.get(path) ?? 0;
		this._turns.set(path, turn + 1);
		const entry = entries[turn % entries.length];
		this._track(this._call(path, method, entry));
	}

	/** Keeps work whose end is awaited when the traffic ends. */
	_track(work) {
		this._pending.push(
			work.catch(error => {
				this._record.write(`failed: ${error.stack}`);
			}),
		);
	}

	async _call(path, method, entry) {
		const body = method === 'POST' ? `order ${++this._orders}` : '';
		const id = this._fleet.nextId();
		this._calls.set(id, entry);
		const call = await this._fleet.call({id, entry, path, method, body});
		const kind = `${path} ${call.status}${call.error ? ` ${call.error}` : ''}`;
		this._outcomes.set(kind, (this._outcomes.get(kind) ?? 0) + 1);
		if (path === crashingPath) {
			this._record.write(
				`${call.sentAt} ms: ${id} sent to entry ${entry}, answered ${call.status} ${call.body ?? ''}`,
			);
		}
	}

	/** Whether an entry was not stopped or started in the last `contactMs`. */
	_isInTouch(entry, at) {
		return this._troubles[entry].every(
			({from, to}) => from > at || to < at - bounds.contactMs,
		);
	}
}
