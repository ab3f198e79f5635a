import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkKey} from '@balsamtray/core';
import {canonicalJson, checkDocument} from '@balsamtray/protocol';
import {createTestFleet, documentText} from './testing.js';

describe('ConfigAuthor', () => {
	describe('with two operators at once', () => {
		it('accepts one document and returns the winner to the other operator', async () => {
			const fleet = createTestFleet();
			const first = fleet.addEntry('one');
			const second = fleet.addEntry('two');
			await fleet.start();
			const base = await first.author.plan(documentText('a'));
			assert.equal(base.kind, 'planned');
			const results = await Promise.all([
				first.author.apply({
					author: 'ann',
					changeId: 'change-a',
					text: documentText('a'),
					baseVersion: base.baseVersion,
				}),
				second.author.apply({
					author: 'bob',
					changeId: 'change-b',
					text: documentText('b'),
					baseVersion: base.baseVersion,
				}),
			]);
			const accepted = results.filter(({kind}) => kind === 'accepted');
			const loser = results.find(({kind}) => kind === 'conflict');
			assert.equal(accepted.length, 1);
			assert.equal(loser?.kind, 'conflict');
			const [winner] = accepted;
			assert.equal(winner?.kind, 'accepted');
			assert.equal(loser.winner.changeId, winner.changeId);
		});

		it('accepts both changes when they concern different subjects', async () => {
			const fleet = createTestFleet();
			const first = fleet.addEntry('one');
			const second = fleet.addEntry('two');
			await fleet.start();
			const results = await Promise.all([
				first.author.setZoneOut('ann', 'x', 'zone-1', true),
				second.author.setZoneOut('bob', 'y', 'zone-2', true),
			]);
			assert.deepEqual(
				results.map(({kind}) => kind),
				['accepted', 'accepted'],
			);
		});
	});

	describe('with a key that was withdrawn between two documents', () => {
		it('keeps the key withdrawn when the older document is applied again', async () => {
			const fleet = createTestFleet();
			const {author, config} = fleet.addEntry('one');
			await fleet.start();
			const older = {author: 'ann', text: documentText('a')};
			await author.apply({...older, changeId: '1', baseVersion: 0});
			const issued = await author.issueKey('ann', '2', 'town');
			assert.equal(checkKey(config.view(), issued.key).kind, 'key');
			await author.withdrawKey('ann', '3', issued.keyId);
			const {version} = config.view();
			const newer = {author: 'ann', text: documentText('b')};
			await author.apply({...newer, changeId: '4', baseVersion: version});
			const result = await author.apply({
				...older,
				changeId: '5',
				baseVersion: config.view().version,
			});
			assert.equal(result.kind, 'accepted');
			assert.equal(checkKey(config.view(), issued.key).kind, 'invalid');
		});
	});

	describe('with a call that is repeated', () => {
		it('accepts the change once and returns the same result', async () => {
			const fleet = createTestFleet();
			const {author, config} = fleet.addEntry('one');
			await fleet.start();
			const call = {
				author: 'ann',
				changeId: 'same',
				text: documentText('a'),
				baseVersion: 0,
			};
			const first = await author.apply(call);
			const second = await author.apply(call);
			assert.deepEqual(second, first);
			assert.equal(config.view().version, 1);
		});
	});

	describe('with the store down', () => {
		it('returns unavailable and changes nothing', async () => {
			const fleet = createTestFleet();
			const {author, config} = fleet.addEntry('one');
			await fleet.start();
			fleet.table.chooseFault = () => 'down';
			const result = await author.setZoneOut('ann', 'x', 'zone-1', true);
			assert.equal(result.kind, 'unavailable');
			assert.equal(config.view().version, 0);
		});
	});

	describe('with a document whose digest differs from the expected one', () => {
		it('refuses it', async () => {
			const fleet = createTestFleet();
			const {author} = fleet.addEntry('one');
			await fleet.start();
			const result = await author.apply({
				author: 'ann',
				changeId: '1',
				text: documentText('a'),
				baseVersion: 0,
				digest: '0'.repeat(64),
			});
			assert.equal(result.kind, 'digestMismatch');
		});
	});

	describe('with unknown names', () => {
		it('returns unknownSubject for a customer, a key, a zone and a server', async () => {
			const fleet = createTestFleet();
			const {author} = fleet.addEntry('one');
			await fleet.start();
			const issued = await author.issueKey('ann', '1', 'nobody');
			const results = [
				issued.result,
				await author.withdrawKey('ann', '2', 'nothing'),
				await author.setZoneOut('ann', '3', 'nowhere', true),
				await author.setServerDrained('ann', '4', 'nowhere', true),
			];
			assert.ok(results.every(({kind}) => kind === 'unknownSubject'));
			assert.equal(issued.key, undefined);
		});
	});

	it('rejects a plan for a document that is not canonical', async () => {
		const fleet = createTestFleet();
		const {author} = fleet.addEntry('one');
		await fleet.start();
		const indented = JSON.stringify(JSON.parse(documentText('a')), null, 1);
		const plan = await author.plan(indented);
		assert.equal(plan.kind, 'invalid');
		const value: unknown = JSON.parse(documentText('a'));
		assert.equal(checkDocument(value).kind, 'valid');
		assert.equal(canonicalJson(value), documentText('a'));
	});
});
