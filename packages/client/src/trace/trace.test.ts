import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {parseLog} from './log-lines.js';
import {describeLine, traceRequest} from './request-trace.js';

const formatLine = (time: number, host: string, event: string, fields = {}) =>
	JSON.stringify({time, now: 1, host, event, ...fields});

const entryLog = [
	formatLine(1000, 'e1', 'configInForce', {version: 3}),
	formatLine(3000, 'e1', 'configInForce', {version: 4}),
	formatLine(5500, 'e1', 'request', {id: 'other', sends: [], totalMs: 5}),
	formatLine(8000, 'e1', 'request', {
		id: 'x',
		adapter: 'm/a1',
		sends: ['s1: broke: reset'],
		totalMs: 1000,
		status: 502,
	}),
	formatLine(8100, 'e1', 'suspended', {epoch: 1}),
	'{"time":8200,"host":"e1","ev',
];
const agentLog = [
	'npm warn something else',
	`  7.9 side-1 ${formatLine(7200, 'a1', 'order', {target: 'm/a1@2', outcome: 'accepted'})}`,
	formatLine(7300, 'a1', 'order', {target: 'm/a10@', outcome: 'accepted'}),
	formatLine(7400, 'e2', 'serverChanged', {server: 's1', state: 'draining'}),
	formatLine(7500, 'e2', 'configInForce', {version: 4}),
];

describe('trace', () => {
	const {lines, skipped} = parseLog([entryLog.join('\n'), agentLog.join('\n')]);

	it('skips and counts truncated lines and lines of other programs', () => {
		assert.equal(skipped, 2);
		assert.equal(lines.length, 9);
	});

	it('returns the lines that relate to the request, oldest first', () => {
		const related = traceRequest('x', lines);
		assert.deepEqual(
			related.map(({time, event}) => [time, event]),
			[
				[3000, 'configInForce'],
				[7200, 'order'],
				[7400, 'serverChanged'],
				[8000, 'request'],
			],
		);
		assert.match(describeLine(related[1]!, 8000), /-800 ms {2}a1 {2}order/v);
	});

	it('returns no lines for an unknown request', () => {
		assert.deepEqual(traceRequest('none', lines), []);
	});
});
