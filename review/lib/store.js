import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {text} from 'node:stream/consumers';

/** Tables that only the operator and the servers write. */
const guardedTables = new Set(['op', 'servers']);

/** Most rows of one answer. */
const maxRows = 500;

/** The platform's row store: transactions, reads of ranges and the feed of changes, as PROTOCOL.md describes them. */
export class Store {
	static async listen(host, port) {
		const store = new Store();
		await new Promise((resolve, reject) => {
			store._server.once('error', reject);
			store._server.listen(port, host, resolve);
		});
		return store;
	}

	/** Time until a call is carried out, in milliseconds. */
	latencyMs = 4;
	/** Returns what becomes of a call: 'pass', 'refuse' (503), 'silent' or a time in milliseconds by which it is late. */
	rule = () => 'pass';

	constructor() {
		this._rows = new Map();
		this._version = 0;
		this._watchers = new Set();
		this._server = createServer(async (req, res) => this._handle(req, res));
	}

	/** Writes a row as the operator or a server does. The return is the ack. */
	put(table, key, value) {
		this._version++;
		this._set(
			table,
			key,
			Buffer.from(JSON.stringify(value)).toString('base64'),
		);
		this._notify();
	}

	remove(table, key) {
		this._version++;
		this._set(table, key, undefined);
		this._notify();
	}

	dispose() {
		this._server.close();
		this._server.closeAllConnections();
	}

	_set(table, key, value) {
		const rowVersion = this._version;
		this._rows.set(`${table}\n${key}`, {
			table,
			part: '',
			key,
			value,
			rowVersion,
		});
	}

	_current(table, key) {
		const row = this._rows.get(`${table}\n${key}`);
		return row?.value === undefined ? undefined : row;
	}

	_notify() {
		for (const watcher of this._watchers) {
			watcher();
		}
	}

	_send(res, status, body) {
		res.writeHead(status, {'content-type': 'application/json'});
		res.end(
			JSON.stringify({
				...body,
				rowVersion: this._version,
				nowMs: Math.round(performance.now()),
			}),
		);
	}

	async _handle(req, res) {
		const body = await text(req);
		const url = new URL(req.url, 'http://store');
		const query = Object.fromEntries(url.searchParams);
		const verdict = this.rule({
			from: req.socket.remoteAddress,
			path: url.pathname,
			query,
			body,
		});
		if (verdict === 'silent') {
			return;
		}

		if (verdict === 'refuse') {
			this._send(res, 503, {});
			return;
		}

		const lateMs = typeof verdict === 'number' ? verdict : 0;
		setTimeout(() => {
			this._carryOut(url.pathname, query, body, res);
		}, this.latencyMs + lateMs);
	}

	_carryOut(path, query, body, res) {
		switch (path) {
			case '/-/rows-tx': {
				this._transact(res, JSON.parse(body));
				break;
			}

			case '/-/rows-get': {
				this._read(res, query);
				break;
			}

			case '/-/rows-feed': {
				this._feed(res, query);
				break;
			}

			default: {
				this._send(res, 404, {});
			}
		}
	}

	_transact(res, {expected = [], upserts = [], remove = []}) {
		if ([...upserts, ...remove].some(({table}) => guardedTables.has(table))) {
			this._send(res, 403, {});
			return;
		}

		const isAsExpected = expected.every(
			({table, key, rowVersion}) =>
				(this._current(table, key)?.rowVersion ?? 0) === rowVersion,
		);
		if (!isAsExpected) {
			const rows = expected
				.map(({table, key}) => this._current(table, key))
				.filter(row => row !== undefined);
			this._send(res, 412, {rows});
			return;
		}

		this._version++;
		for (const {table, key, value} of upserts) {
			this._set(table, key, value);
		}

		for (const {table, key} of remove) {
			this._set(table, key, undefined);
		}

		this._notify();
		this._send(res, 200, {});
	}

	_read(res, {table, source = '', to, limit = maxRows}) {
		const rows = [...this._rows.values()]
			.filter(
				row =>
					row.table === table &&
					row.value !== undefined &&
					row.key >= source &&
					(to === undefined || row.key < to),
			)
			.toSorted((a, b) => (a.key < b.key ? -1 : 1));
		const most = Math.min(maxRows, Number(limit));
		this._send(res, 200, {
			rows: rows.slice(0, most),
			hasMore: rows.length > most,
		});
	}

	_feed(res, {table, after = '0', waitMs = '0'}) {
		const since = Number(after);
		if (since > this._version) {
			this._send(res, 410, {});
			return;
		}

		const trySend = isLast => {
			const rows = [...this._rows.values()]
				.filter(row => row.table === table && row.rowVersion > since)
				.toSorted((a, b) => a.rowVersion - b.rowVersion)
				.map(row => (row.value === undefined ? {...row, deleted: true} : row));
			if (rows.length > 0 || isLast) {
				this._send(res, 200, {rows});
				return true;
			}

			return false;
		};

		if (trySend(waitMs === '0')) {
			return;
		}

		const watcher = () => {
			if (trySend(false)) {
				stop();
			}
		};

		const timer = setTimeout(() => {
			stop();
			trySend(true);
		}, Number(waitMs));
		const stop = () => {
			clearTimeout(timer);
			this._watchers.delete(watcher);
		};

		this._watchers.add(watcher);
		res.once('close', stop);
	}
}
