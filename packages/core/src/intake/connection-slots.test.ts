import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ConnectionSlots} from './connection-slots.js';

describe('ConnectionSlots', () => {
	const create = () => ConnectionSlots.create<string>(() => 3);

	describe('under connections that never send a whole request', () => {
		it('closes the oldest of them for each new one, and never an ordinary one', () => {
			const slots = create();
			slots.open('ordinary');
			slots.noteRequest('ordinary');
			const closed: string[] = [];
			for (let i = 0; i < 10; i++) {
				const decision = slots.open(`begun-${i}`);
				if (decision.kind === 'replaces') {
					closed.push(decision.connection);
				}
			}

			assert.deepEqual(
				closed,
				Array.from({length: 8}, (_, i) => `begun-${i}`),
			);
			assert.equal(slots.size, 3);
		});
	});

	it('closes the connection whose last request ended first', () => {
		const slots = create();
		for (const name of ['a', 'b', 'c']) {
			slots.open(name);
			slots.noteRequest(name);
		}

		for (const name of ['b', 'a', 'c']) {
			slots.noteEnd(name);
		}

		assert.deepEqual(slots.open('d'), {kind: 'replaces', connection: 'b'});
	});

	it('refuses a connection if requests run on all others', () => {
		const slots = create();
		for (const name of ['a', 'b', 'c']) {
			slots.open(name);
			slots.noteRequest(name);
		}

		assert.deepEqual(slots.open('d'), {kind: 'refused'});
		slots.close('a');
		assert.deepEqual(slots.open('d'), {kind: 'free'});
	});

	it('keeps a connection as long as one of its requests runs', () => {
		const slots = create();
		slots.open('a');
		slots.noteRequest('a');
		slots.noteRequest('a');
		slots.noteEnd('a');
		slots.open('b');
		slots.open('c');
		assert.deepEqual(slots.open('d'), {kind: 'replaces', connection: 'b'});
	});

	it('ignores ends of connections that were closed', () => {
		const slots = create();
		slots.open('a');
		slots.noteRequest('a');
		slots.close('a');
		slots.noteEnd('a');
		slots.noteRequest('a');
		assert.equal(slots.size, 0);
	});
});
