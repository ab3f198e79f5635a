import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {readLines} from './log-lines.js';
import {describeLine, storyOf} from './request-story.js';

const line = (time: number, host: string, event: string, fields = {}) =>
	JSON.stringify({time, now: 1, host, event, ...fields});

const entryLog = [
	line(1000, 'e1', 'configInForce', {version: 3}),
	line(3000, 'e1', 'configInForce', {version: 4}),
	line(5500, 'e1', 'request', {id: 'other', sends: [], totalMs: 5}),
	line(8000, 'e1', 'request', {
		id: 'x',
		adapter: 'm/a1',
		sends: ['s1: broke: reset'],
		totalMs: 1000,
		status: 502,
	}),
	line(8100, 'e1', 'suspended', {epoch: 1}),
	'{"time":8200,"host":"e1","ev',
];
const agentLog = [
	'npm warn something else',
	`  7.9 side-1 ${line(7200, 'a1', 'order', {target: 'm/a1@2', outcome: 'accepted'})}`,
	line(7300, 'a1', 'order', {target: 'm/a10@', outcome: 'accepted'}),
	line(7400, 'e2', 'serverChanged', {server: 's1', state: 'draining'}),
	line(7500, 'e2', 'configInForce', {version: 4}),
];

describe('trace', () => {
	const {lines, skipped} = readLines([
		entryLog.join('\n'),
		agentLog.join('\n'),
	]);

	it('passes over lines of other programs and half lines, and counts them', () => {
		assert.equal(skipped, 2);
		assert.equal(lines.length, 9);
	});

	it('tells what bears on the request, oldest first', () => {
		const story = storyOf('x', lines);
		assert.deepEqual(
			story.map(({time, event}) => [time, event]),
			[
				[3000, 'configInForce'],
				[7200, 'order'],
				[7400, 'serverChanged'],
				[8000, 'request'],
			],
		);
		assert.match(describeLine(story[1]!, 8000), /-800 ms {2}a1 {2}order/v);
	});

	it('says nothing about a request that no line names', () => {
		assert.deepEqual(storyOf('none', lines), []);
	});
});
