import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ConfigState} from './config-state.js';
import type {ConfigChange, ConfigOp} from './types.js';

function change(version: number, ...ops: readonly ConfigOp[]): ConfigChange {
	return {
		version,
		changeId: `change-${version}`,
		author: 'test',
		writtenAt: version,
		summary: '',
		ops,
	};
}

function apply(state: ConfigState, ...ops: readonly ConfigOp[]): ConfigState {
	const result = state.applyChange(change(state.version + 1, ...ops));
	assert.equal(result.kind, 'applied');
	return result.state;
}

const key = {id: 'k', customer: 'c', salt: '', digest: '', issuedAt: 0};

describe('ConfigState', () => {
	describe('applyChange', () => {
		it('refuses a version that it has', () => {
			const state = apply(ConfigState.empty());
			assert.deepEqual(state.applyChange(change(1)), {kind: 'old'});
		});

		it('refuses a version after a gap', () => {
			const result = ConfigState.empty().applyChange(change(3));
			assert.deepEqual(result, {kind: 'gap', missingFrom: 1});
		});

		it('leaves the earlier state as it was', () => {
			const before = apply(ConfigState.empty(), {op: 'issueKey', key});
			const after = apply(before, {op: 'takeZoneOut', zone: 'a'});
			assert.equal(before.isZoneOut('a'), false);
			assert.equal(after.isZoneOut('a'), true);
		});
	});

	describe('a withdrawn key', () => {
		it('is not issued again', () => {
			const issued = apply(ConfigState.empty(), {op: 'issueKey', key});
			const withdrawn = apply(issued, {op: 'withdrawKey', keyId: 'k'});
			const again = apply(withdrawn, {op: 'issueKey', key});
			assert.equal(again.key('k'), undefined);
			assert.equal(again.isKeyWithdrawn('k'), true);
		});
	});

	describe('lastTouched', () => {
		it('names the last change of a subject', () => {
			const state = apply(ConfigState.empty(), {op: 'issueKey', key});
			assert.equal(state.lastTouched('key:k'), 1);
			assert.equal(state.lastTouched('key:other'), 0);
		});

		it('assumes the version of the snapshot where it knows no better', () => {
			const state = apply(ConfigState.empty(), {op: 'issueKey', key});
			const restored = ConfigState.fromSnapshot(state.toSnapshot());
			assert.equal(restored.lastTouched('key:other'), 1);
		});
	});

	describe('toSnapshot', () => {
		it('restores the same configuration', () => {
			const state = apply(
				ConfigState.empty(),
				{op: 'issueKey', key},
				{op: 'withdrawKey', keyId: 'gone'},
				{op: 'drainServer', server: 's'},
			);
			const snapshot = state.toSnapshot();
			assert.deepEqual(
				ConfigState.fromSnapshot(snapshot).toSnapshot(),
				snapshot,
			);
		});
	});
});
