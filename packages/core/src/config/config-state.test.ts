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
		it('rejects a change whose version is already applied', () => {
			const state = apply(ConfigState.empty());
			assert.deepEqual(state.applyChange(change(1)), {kind: 'old'});
		});

		it('reports the first missing version when changes are missing', () => {
			const result = ConfigState.empty().applyChange(change(3));
			assert.deepEqual(result, {kind: 'gap', missingFrom: 1});
		});

		it('does not modify the earlier state', () => {
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

	describe('the version of the last change to a subject', () => {
		it('is recorded when a change is applied', () => {
			const state = apply(ConfigState.empty(), {op: 'issueKey', key});
			assert.equal(state.lastChangeVersion('key:k'), 1);
			assert.equal(state.lastChangeVersion('key:other'), 0);
		});

		it("is the snapshot's version if no change to the subject is known", () => {
			const state = apply(ConfigState.empty(), {op: 'issueKey', key});
			const restored = ConfigState.fromSnapshot(state.toSnapshot());
			assert.equal(restored.lastChangeVersion('key:other'), 1);
		});
	});

	describe('toSnapshot', () => {
		it('round-trips through fromSnapshot', () => {
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
