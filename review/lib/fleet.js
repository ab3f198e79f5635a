import {spawn} from 'node:child_process';
import {
	appendFileSync,
	mkdtempSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {Store} from './store.js';

/** Seconds until the script gives up. */
const maxScriptS = 115;

/** First three octets of the loopback addresses of this run. Each machine has an address of its own. */
const network = `127.${100 + Math.floor(Math.random() * 100)}.${1 + Math.floor(Math.random() * 250)}`;

/** Bounds of the installation, as sites/pcm-tray.toml and its sheet have them. */
export const bounds = {
	contactMs: 3000,
	drainMs: 2000,
	graceS: 8,
	lossSlackMs: 200,
	configApplyMs: 2000,
	revertSlackMs: 250,
	strictRevoke: true,
	revokeMs: 5000,
	retryBudgetRatio: 0.2,
	budgetWindowS: 10,
	budgetExtra: 54,
	quotaWindowS: 8,
	quotaOverage: 0.1,
	quotaSlack: 11_000,
	coldOverage: 1.5,
	coldSlack: 5,
	evacuateMs: 5000,
	leaseMs: 3000,
	version_ms: 5000, // eslint-disable-line camelcase
};

/** Starts the programs of the deploy file as processes on loopback addresses, and what they talk to. */
export class Fleet {
	static async create() {
		const ports = await freePorts(4);
		const store = await Store.listen(`${network}.1`, ports[0]);
		return new Fleet(store, ports);
	}

	constructor(store, [storePort, frontPort, readyPort, peerPort]) {
		this.store = store;
		this.startedAt = performance.now();
		this._ports = {storePort, frontPort, readyPort, peerPort};
		this._directory = mkdtempSync(path.join(tmpdir(), 'review-'));
		this._entries = [];
		this._lines = [];
		this._nextId = 1;
		this._disposables = [];
		this._timer = setTimeout(() => {
			console.error('the script takes too long');
			this.dispose();
			process.exit(2); // eslint-disable-line unicorn/no-process-exit
		}, maxScriptS * 1000);
	}

	/** Milliseconds since the start. */
	now() {
		return Math.round(performance.now() - this.startedAt);
	}

	hostOf(number) {
		return `${network}.${number}`;
	}

	/** Adds a stand-in that ends with the fleet. */
	add(disposable) {
		this._disposables.push(disposable);
		return disposable;
	}

	/** Starts an entry, by the command of the deploy file. */
	startEntry(index, zone, isFirstStart = true) {
		const host = this.hostOf(11 + index);
		const name = `frontend-${zone}-${index}`;
		const file = path.join(this._directory, `${name}.toml`);
		writeFileSync(file, this._settings(name, host, zone, isFirstStart));
		const [program, ...args] = entryCommand();
		const child = spawn(program, args, {
			env: {
				/* eslint-disable @typescript-eslint/naming-convention */
				PATH: process.env.PATH,
				HOME: process.env.HOME,
				BALSAMTRAY_CONFIG: file,
				/* eslint-enable @typescript-eslint/naming-convention */
			},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8');
			stream.on('data', chunk => {
				this._lines.push(chunk);
			});
		}

		const entry = {host, zone, name, child, startedAt: this.now()};
		entry.ended = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				entry.exit = {code, signal, at: this.now()};
				resolve(entry.exit);
			});
		});
		this._entries[index] = entry;
		return entry;
	}

	entry(index) {
		return this._entries[index];
	}

	/** What the entries wrote. */
	get output() {
		return this._lines.join('');
	}

	async isReady(index) {
		const {host} = this._entries[index];
		return new Promise(resolve => {
			const req = request({
				host,
				port: this._ports.readyPort,
				path: '/-/ready',
				agent: false,
				timeout: 1000,
			});
			req.once('response', res => {
				res.resume();
				resolve(res.statusCode === 200);
			});
			req.once('timeout', () => {
				req.destroy();
			});
			req.once('error', () => {
				resolve(false);
			});
			req.end();
		});
	}

	async waitUntilReady(index, timeoutMs = 25_000) {
		const endAt = this.now() + timeoutMs;
		// eslint-disable-next-line no-await-in-loop
		while (!(await this.isReady(index))) {
			if (this.now() > endAt) {
				throw new Error(
					`entry ${index} is not ready: ${this.output.slice(-2000)}`,
				);
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(50);
		}
	}

	frontOf(index) {
		return {host: this._entries[index].host, port: this._ports.frontPort};
	}

	/** An id for the next attempt of a consumer. */
	nextId() {
		return `a${(this._nextId++).toString(16).padStart(15, '0')}`;
	}

	/** Sends a request as a consumer does, over a channel of its own. Resolves with its end. */
	async call({
		entry,
		path: target,
		method = 'POST',
		body = '',
		key,
		deadlineMs = 4000,
		headers = {},
		agent = false,
		id = this.nextId(),
	}) {
		const sentAt = this.now();
		return new Promise(resolve => {
			const finish = end => {
				clearTimeout(timer);
				resolve({id, entry, sentAt, endedAt: this.now(), ...end});
			};

			const req = request({
				...this.frontOf(entry),
				method,
				path: target,
				agent,
				headers: {
					host: 'a.example',
					'balsamtray-attempt-id': id,
					'balsamtray-deadline-ms': deadlineMs.toString(),
					...(key !== undefined && {'balsamtray-credential': key}),
					...headers,
				},
			});
			const timer = setTimeout(() => {
				finish({status: 0, error: 'time limit'});
				req.destroy();
			}, deadlineMs);
			req.once('error', err => {
				finish({status: 0, error: err.code ?? err.message});
			});
			req.once('response', res => {
				const chunks = [];
				res.setEncoding('utf8');
				res.on('data', chunk => {
					chunks.push(chunk);
				});
				const end = {status: res.statusCode, headers: res.headers};
				res.once('end', () => {
					finish({...end, body: chunks.join(''), isComplete: res.complete});
				});
				res.once('error', () => {
					finish({...end, body: chunks.join(''), isComplete: false});
				});
			});
			req.end(body === '' ? undefined : body);
		});
	}

	dispose() {
		clearTimeout(this._timer);
		for (const {child} of this._entries.filter(Boolean)) {
			child.kill('SIGKILL');
		}

		for (const disposable of [...this._disposables, this.store]) {
			disposable.dispose();
		}

		rmSync(this._directory, {recursive: true, force: true});
	}

	_settings(name, host, zone, isFirstStart) {
		const {storePort, frontPort, readyPort, peerPort} = this._ports;
		const boundLines = Object.entries(bounds).map(
			([key, value]) => `${key} = ${value}`,
		);
		return `node = "${name}"
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ip = "${host}"
zone = "${zone}"
region = "prairie-west"
portRange = [${peerPort},${peerPort + 15}]
bootstrap = ${isFirstStart}
discovery = "platform"
[listen]
front = "${host}:${frontPort}"
readyAddr = "${host}:${readyPort}"
[bounds]
${boundLines.join('\n')}
[platform]
address = "${network}.1:${storePort}"
form = "table"
`;
	}
}

/** Writes what a script sent and saw beside it. */
export class Record {
	constructor(folder) {
		this._file = path.join(folder, 'record.txt');
		writeFileSync(this._file, '');
	}

	write(text) {
		appendFileSync(this._file, `${text}\n`);
	}
}

/** Runs a script and ends the process with its verdict: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
export async function runScript(folder, play) {
	const record = new Record(folder);
	let fleet;
	let code = 2;
	try {
		fleet = await Fleet.create();
		const isBroken = await play({
			fleet,
			record,
			hasTrouble: process.env.TROUBLE !== '0',
		});
		code = isBroken ? 1 : 0;
	} catch (error) {
		record.write(`could not run: ${error.stack}`);
		console.error(error);
	} finally {
		fleet?.dispose();
	}

	record.write(`exit ${code}`);
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
}

/** The words of the entry's command in the deploy file. */
function entryCommand() {
	const deploy = readFileSync('deploy/system.toml', 'utf8');
	const section = deploy.slice(deploy.indexOf('[roles.entry]'));
	const [, command] = /^run = "(.*)"$/mv.exec(section);
	const [program, ...args] = command.split(' ');
	return [program === 'node' ? process.execPath : program, ...args];
}

/** Finds ports at which nothing listens on any address of the network. */
async function freePorts(count) {
	const ports = [];
	while (ports.length < count) {
		// Ports of processes come in ranges of 16.
		const port = 20_000 + 16 * Math.floor(Math.random() * 600);
		// eslint-disable-next-line no-await-in-loop
		if (!ports.includes(port) && (await isFree(port))) {
			ports.push(port);
		}
	}

	return ports;
}

async function isFree(port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** A configuration of the operator. */
export function configOf(version, {routes, services, tenants}) {
	return {
		version,
		routes,
		services,
		limits: {
			maxHeaderBytes: 16_384,
			maxBodyBytes: 4_194_304,
			headerTimeoutMs: 5000,
			idleTimeoutMs: 15_000,
		},
		...(tenants !== undefined && {tenants}),
	};
}

export function routeOf({name, prefix, routeKind, service, ...changes}) {
	return {
		name,
		hostname: 'a.example',
		prefix,
		routeKind,
		service,
		maxAttempts: 2,
		timeoutMs: 4000,
		targetLatencyMs: 386,
		priority: 1,
		authExempt: false,
		sticky: false,
		resumable: false,
		...changes,
	};
}
