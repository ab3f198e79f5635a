import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {maxLeavingMs, maxRememberedServers, minReturnMs} from './constants.js';
import {ServerLeavings} from './server-leavings.js';
import type {ServerRecord} from './types.js';

const record = (changes: Partial<ServerRecord> = {}): ServerRecord => ({
	id: 'x',
	service: 's',
	address: '10.0.0.1:1',
	zone: 'z',
	slots: 1,
	isDraining: false,
	coldLeftMs: 0,
	models: [],
	...changes,
});

describe('ServerLeavings', () => {
	let leavings: ServerLeavings;

	beforeEach(() => {
		leavings = ServerLeavings.create();
	});

	describe('of a server that tells its start', () => {
		beforeEach(() => {
			const row = record({born: 5});
			leavings.note('x', {born: 5, record: row, isListed: true}, 0);
			leavings.noteUnlisted('x', 0);
		});

		// Guards against the leaving of a server that is forgotten with its row (DRAIN).
		it('holds whenever its row comes back with that start or none', () => {
			leavings.noteListed(record({born: 5}), 2 * maxLeavingMs);
			assert.equal(leavings.has('x'), true);
			leavings.noteListed(record({softwareVersion: 'v2'}), 2 * maxLeavingMs);
			assert.equal(leavings.has('x'), true);
		});

		it('ends with a later start, by its row or its report', () => {
			leavings.noteBorn('x', 5);
			assert.equal(leavings.has('x'), true);
			leavings.noteBorn('x', 6);
			assert.equal(leavings.has('x'), false);
			leavings.note('x', {born: 6, record: undefined, isListed: false}, 0);
			leavings.noteListed(record({born: 7}), 1);
			assert.equal(leavings.has('x'), false);
		});
	});

	describe('of a server that does not tell its start', () => {
		beforeEach(() => {
			leavings.note('x', {born: 0, record: record(), isListed: true}, 0);
		});

		// Guards against a removal that counts as the end of the leaving, though only the row was gone (DRAIN).
		it('holds while its row comes back sooner than rows may arrive late', () => {
			for (let now = 0; now < maxLeavingMs - minReturnMs; now += minReturnMs) {
				leavings.noteUnlisted('x', now + 1);
				leavings.noteListed(record(), now + minReturnMs);
				assert.equal(leavings.has('x'), true);
			}
		});

		it('ends when its row comes back later', () => {
			leavings.noteUnlisted('x', 1);
			leavings.noteUnlisted('x', minReturnMs);
			leavings.noteListed(record(), 1 + minReturnMs);
			assert.equal(leavings.has('x'), false);
		});

		// Guards against a server that stays out of use for good, as only its next start was listed.
		it('ends when no server could still be leaving whose row has come back', () => {
			leavings.noteListed(record(), maxLeavingMs);
			assert.equal(leavings.has('x'), true);
			leavings.noteUnlisted('x', maxLeavingMs);
			leavings.noteListed(record(), maxLeavingMs + 1);
			leavings.noteListed(record(), maxLeavingMs + 2);
			assert.equal(leavings.has('x'), false);
		});

		it('ends with another address or software version', () => {
			for (const changes of [{address: 'y'}, {softwareVersion: 'v2'}]) {
				leavings.note('x', {born: 0, record: record(), isListed: true}, 0);
				leavings.noteUnlisted('x', 1);
				leavings.noteListed(record(changes), 2);
				assert.equal(leavings.has('x'), false);
			}
		});
	});

	describe('while identifiers come and go for days', () => {
		// Guards against memory that grows with every server that ever left.
		it('forgets the oldest of more than fleets have', () => {
			for (let i = 0; i < 2 * maxRememberedServers; i++) {
				leavings.note(
					`i${i}`,
					{born: i, record: undefined, isListed: false},
					i,
				);
			}

			assert.equal(leavings.size, maxRememberedServers);
			assert.equal(leavings.has(`i${maxRememberedServers - 1}`), false);
			assert.equal(leavings.has(`i${maxRememberedServers}`), true);
		});
	});
});
