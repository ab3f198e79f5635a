import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {CallResult} from './call-result.js';
import {faultsOfCompletion} from './check-completion.js';

const asked = {servedName: 'salt@v1', weights: 'salt/v1', prompt: 'ref=1'};
const rightText =
	'[model=salt@v1 weights=salt/v1 request=r1] ref=1 w2 [end=r1 tokens=2]';

function result(text: string, part: Partial<CallResult> = {}): CallResult {
	return {
		status: 200,
		headers: {},
		text,
		isEnded: true,
		sentAt: 0,
		endedAt: 1,
		...part,
	};
}

function whole(content: string): string {
	return JSON.stringify({
		id: 'chatcmpl-r1',
		model: 'salt@v1',
		choices: [{message: {content}}],
	});
}

function event(id: string, content: string): string {
	const chunk = {id, model: 'salt@v1', choices: [{delta: {content}}]};
	return `data: ${JSON.stringify(chunk)}\n\n`;
}

describe('faultsOfCompletion', () => {
	describe('of a whole answer', () => {
		it('finds nothing wrong with the right one', () => {
			assert.deepEqual(faultsOfCompletion(result(whole(rightText)), asked), []);
		});

		it('tells another version, other weights and another prompt apart', () => {
			const text = rightText
				.replace('salt@v1', 'salt@v2')
				.replace('salt/v1', 'salt/v2')
				.replace('ref=1', 'ref=2');
			assert.equal(faultsOfCompletion(result(whole(text)), asked).length, 3);
		});

		it('tells an answer that another one ended', () => {
			const text = rightText.replace('end=r1', 'end=r2');
			assert.equal(faultsOfCompletion(result(whole(text)), asked).length, 1);
		});
	});

	describe('of a streamed answer', () => {
		const [first, last] = [rightText.slice(0, 50), rightText.slice(50)];
		const events = event('c-r1', first) + event('c-r1', last);

		it('finds nothing wrong with the right one', () => {
			const answer = result(`${events}data: [DONE]\n\n`);
			assert.deepEqual(faultsOfCompletion(answer, asked), []);
		});

		it('tells an answer without its end', () => {
			assert.deepEqual(faultsOfCompletion(result(events), asked), [
				'the answer is not whole',
			]);
		});

		it('tells an answer whose parts belong to different requests', () => {
			const mixed = event('c-r1', first) + event('c-r2', last);
			const answer = result(`${mixed}data: [DONE]\n\n`);
			assert.equal(faultsOfCompletion(answer, asked).length, 1);
		});
	});
});
