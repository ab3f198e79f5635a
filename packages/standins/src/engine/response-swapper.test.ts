import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ResponseSwapper} from './response-swapper.js';

function identity(requestId: string) {
	return {requestId, servedName: 'salt@1', weights: 'w', prompt: 'p'};
}

describe('ResponseSwapper', () => {
	describe('swap', () => {
		it('swaps the responses of two running requests', () => {
			const swapper = ResponseSwapper.create();
			swapper.begin('a', identity('ra'));
			assert.equal(swapper.swap('a'), false);
			swapper.begin('b', identity('rb'));
			assert.equal(swapper.swap('b'), true);
			assert.equal(swapper.identityOf('a')?.requestId, 'rb');
			assert.equal(swapper.identityOf('b')?.requestId, 'ra');
		});

		it('does not swap a request a second time', () => {
			const swapper = ResponseSwapper.create();
			swapper.begin('a', identity('ra'));
			swapper.begin('b', identity('rb'));
			swapper.swap('b');
			swapper.begin('c', identity('rc'));
			assert.equal(swapper.swap('c'), false);
		});
	});

	describe('replayLastEnded', () => {
		it('gives a request the response of the one that ended last', () => {
			const swapper = ResponseSwapper.create();
			swapper.begin('a', identity('ra'));
			assert.equal(swapper.replayLastEnded('a'), false);
			swapper.end('a');
			swapper.begin('b', identity('rb'));
			assert.equal(swapper.replayLastEnded('b'), true);
			assert.equal(swapper.identityOf('b')?.requestId, 'ra');
		});
	});
});
