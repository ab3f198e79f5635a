import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkKey} from '@balsamtray/core';
import {canonicalJson, checkDocument} from '@balsamtray/protocol';
import {createOperatorSite, documentText} from './testing.js';

describe('ConfigAuthor', () => {
	describe('with two operators who race', () => {
		it('accepts one document and names the winner to the other', async () => {
			const site = createOperatorSite();
			const first = site.entry('one');
			const second = site.entry('two');
			await site.start();
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
			const lost = results.find(({kind}) => kind === 'conflict');
			assert.equal(accepted.length, 1);
			assert.equal(lost?.kind, 'conflict');
			const [winner] = accepted;
			assert.equal(winner?.kind, 'accepted');
			assert.equal(lost.winner.changeId, winner.changeId);
		});

		it('accepts changes of other subjects one after the other', async () => {
			const site = createOperatorSite();
			const first = site.entry('one');
			const second = site.entry('two');
			await site.start();
			const results = await Promise.all([
				first.author.setZone('ann', 'x', 'zone-1', true),
				second.author.setZone('bob', 'y', 'zone-2', true),
			]);
			assert.deepEqual(
				results.map(({kind}) => kind),
				['accepted', 'accepted'],
			);
		});
	});

	describe('with a key withdrawn between two documents', () => {
		it('does not bring the key back with the older document', async () => {
			const site = createOperatorSite();
			const {author, config} = site.entry('one');
			await site.start();
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
		it('accepts the change once', async () => {
			const site = createOperatorSite();
			const {author, config} = site.entry('one');
			await site.start();
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
		it('says that nothing was accepted', async () => {
			const site = createOperatorSite();
			const {author, config} = site.entry('one');
			await site.start();
			site.table.chooseFault = () => 'down';
			const result = await author.setZone('ann', 'x', 'zone-1', true);
			assert.equal(result.kind, 'unavailable');
			assert.equal(config.view().version, 0);
		});
	});

	describe('with a document that was not the one tried', () => {
		it('refuses it', async () => {
			const site = createOperatorSite();
			const {author} = site.entry('one');
			await site.start();
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

	describe('with names that nobody knows', () => {
		it('refuses a customer, a key, a zone and a server', async () => {
			const site = createOperatorSite();
			const {author} = site.entry('one');
			await site.start();
			const issued = await author.issueKey('ann', '1', 'nobody');
			const results = [
				issued.result,
				await author.withdrawKey('ann', '2', 'nothing'),
				await author.setZone('ann', '3', 'nowhere', true),
				await author.setServer('ann', '4', 'nowhere', true),
			];
			assert.ok(results.every(({kind}) => kind === 'unknownSubject'));
			assert.equal(issued.key, undefined);
		});
	});

	it('plans against canonical documents only', async () => {
		const site = createOperatorSite();
		const {author} = site.entry('one');
		await site.start();
		const loose = JSON.stringify(JSON.parse(documentText('a')), null, 1);
		const plan = await author.plan(loose);
		assert.equal(plan.kind, 'invalid');
		const value: unknown = JSON.parse(documentText('a'));
		assert.equal(checkDocument(value).kind, 'valid');
		assert.equal(canonicalJson(value), documentText('a'));
	});
});
