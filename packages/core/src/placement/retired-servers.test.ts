import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {maxRememberedServers, stateRetentionMs} from './constants.js';
import {RetiredServers} from './retired-servers.js';
import {ServerState} from './server-state.js';

const stateOf = (id: string) =>
	ServerState.create(
		{
			id,
			service: 's',
			address: '10.0.0.1:1',
			zone: 'z',
			slots: 1,
			isDraining: false,
			coldLeftMs: 0,
			models: [],
		},
		0,
	);

describe('RetiredServers', () => {
	it('keeps a state for a while, until it is taken', () => {
		const retired = RetiredServers.create();
		const state = stateOf('x');
		retired.add(state, 0);
		assert.equal(retired.take('x', stateRetentionMs - 1), state);
		assert.equal(retired.take('x', 1), undefined);
		retired.add(state, 0);
		assert.equal(retired.take('x', stateRetentionMs), undefined);
	});

	// Guards against memory that grows with every server that was ever listed.
	it('forgets states while identifiers come and go', () => {
		const retired = RetiredServers.create();
		for (let i = 0; i < 1000; i++) {
			retired.add(stateOf(`i${i}`), i * 1000);
			assert.ok(retired.size <= stateRetentionMs / 1000);
		}

		const now = 10_000_000;
		for (let i = 0; i <= maxRememberedServers; i++) {
			retired.add(stateOf(`j${i}`), now);
		}

		assert.equal(retired.size, maxRememberedServers);
		assert.equal(retired.take('j0', now), undefined);
	});
});
