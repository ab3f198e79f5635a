/**
 * Measures the CPU time of logging one request, in microseconds.
 * Usage, after `npm run build`: node scripts/measure-logging.js
 */
import process from 'node:process';
import {Writable} from 'node:stream';
import {EventLog} from '../packages/daemon/dist/direct/index.js';

const lines = 50_000;

/** Lines per second of the simulated clock, below the log's rate limit so that no line is dropped. */
const linesPerSecond = 100;

const sink = new Writable({
	write(_chunk, _encoding, done) {
		done();
	},
});

let written = 0;
const log = EventLog.create(
	'measure',
	() => (written / linesPerSecond) * 1000,
	sink,
);
const event = {
	event: 'request',
	id: '0f434f35d1305a7d',
	status: 200,
	sends: ['i-048d919fea: answered'],
	totalMs: 1729,
	route: 'r-k43bm7c',
	customer: 'cucu240',
	adapter: 'cumi8c5f7/a168',
	waitedMs: 9,
	waitedFor: 'promptQueue',
	firstByteMs: 116,
	longestPauseMs: 42,
	configVersion: 15,
	proofAgeMs: 1250,
};

const before = process.cpuUsage();
for (; written < lines; written++) {
	log.write(event);
}

const {user, system} = process.cpuUsage(before);
console.log(`${((user + system) / lines).toFixed(1)} µs per line`);
