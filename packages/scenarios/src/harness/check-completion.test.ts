import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {CallResult} from './call-result.js';
import {checkCompletion} from './check-completion.js';

const expected = {servedName: 'salt@v1', weights: 'salt/v1', prompt: 'ref=1'};
const correctText =
	'[model=salt@v1 weights=salt/v1 request=r1] ref=1 w2 [end=r1 tokens=2]';

function createResult(
	text: string,
	part: Partial<CallResult> = {},
): CallResult {
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

function createJsonBody(content: string): string {
	return JSON.stringify({
		id: 'chatcmpl-r1',
		model: 'salt@v1',
		choices: [{message: {content}}],
	});
}

function createEvent(id: string, content: string): string {
	const chunk = {id, model: 'salt@v1', choices: [{delta: {content}}]};
	return `data: ${JSON.stringify(chunk)}\n\n`;
}

describe('checkCompletion', () => {
	describe('for a response in one piece', () => {
		it('returns no errors for a correct response', () => {
			assert.deepEqual(
				checkCompletion(createResult(createJsonBody(correctText)), expected),
				[],
			);
		});

		it('reports a wrong version, wrong weights and a wrong prompt', () => {
			const text = correctText
				.replace('salt@v1', 'salt@v2')
				.replace('salt/v1', 'salt/v2')
				.replace('ref=1', 'ref=2');
			assert.equal(
				checkCompletion(createResult(createJsonBody(text)), expected).length,
				3,
			);
		});

		it('reports a response whose end belongs to another request', () => {
			const text = correctText.replace('end=r1', 'end=r2');
			assert.equal(
				checkCompletion(createResult(createJsonBody(text)), expected).length,
				1,
			);
		});
	});

	describe('for a streamed response', () => {
		const [first, last] = [correctText.slice(0, 50), correctText.slice(50)];
		const events = createEvent('c-r1', first) + createEvent('c-r1', last);

		it('returns no errors for a correct response', () => {
			const response = createResult(`${events}data: [DONE]\n\n`);
			assert.deepEqual(checkCompletion(response, expected), []);
		});

		it('reports a stream without [DONE]', () => {
			assert.deepEqual(checkCompletion(createResult(events), expected), [
				'the response is incomplete',
			]);
		});

		it('reports a stream whose chunks belong to different requests', () => {
			const mixed = createEvent('c-r1', first) + createEvent('c-r2', last);
			const response = createResult(`${mixed}data: [DONE]\n\n`);
			assert.equal(checkCompletion(response, expected).length, 1);
		});
	});
});
