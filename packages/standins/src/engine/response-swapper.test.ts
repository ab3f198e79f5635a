import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {AnswerCrossing} from './response-swapper.js';

function identity(requestId: string) {
	return {requestId, servedName: 'salt@1', weights: 'w', prompt: 'p'};
}

describe('AnswerCrossing', () => {
	describe('cross', () => {
		it('gives two running requests each other’s answers', () => {
			const crossing = AnswerCrossing.create();
			crossing.begin('a', identity('ra'));
			assert.equal(crossing.cross('a'), false);
			crossing.begin('b', identity('rb'));
			assert.equal(crossing.cross('b'), true);
			assert.equal(crossing.identityOf('a')?.requestId, 'rb');
			assert.equal(crossing.identityOf('b')?.requestId, 'ra');
		});

		it('crosses a request once only', () => {
			const crossing = AnswerCrossing.create();
			crossing.begin('a', identity('ra'));
			crossing.begin('b', identity('rb'));
			crossing.cross('b');
			crossing.begin('c', identity('rc'));
			assert.equal(crossing.cross('c'), false);
		});
	});

	describe('giveLate', () => {
		it('gives a request the answer of the one that ended last', () => {
			const crossing = AnswerCrossing.create();
			crossing.begin('a', identity('ra'));
			assert.equal(crossing.giveLate('a'), false);
			crossing.end('a');
			crossing.begin('b', identity('rb'));
			assert.equal(crossing.giveLate('b'), true);
			assert.equal(crossing.identityOf('b')?.requestId, 'ra');
		});
	});
});
