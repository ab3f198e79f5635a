import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {maxWaitingForHolders} from './constants.js';
import {RateCore} from './rate-core.js';
import type {RateCommand, RateEvent, RateHolder} from './types.js';

const customer = 'lakeshore';
const shards = ['a', 'b', 'c'].map(id => ({id, region: 'great-lakes'}));
const holders: ReadonlyMap<string, RateHolder> = new Map(
	shards.map(({id}) => [
		id,
		{id: `entry-${id}`, zone: `zone-${id}`, region: 'great-lakes'},
	]),
);

function createEntry(id: string): RateCore {
	const self = holders.get(id);
	assert.ok(self !== undefined);
	const core = RateCore.create({self, incarnation: 'i'});
	const limit = {customer, tokensPerSecond: 300, burstTokens: 3000};
	core.handle({type: 'shardsLearned', shards}, 0);
	core.handle({type: 'holdersLearned', holders}, 0);
	core.handle({type: 'limitsChanged', limits: [limit]}, 0);
	core.handle(
		{
			type: 'leaseGranted',
			shard: id,
			epoch: 1,
			validUntil: 10_000,
			start: {kind: 'full'},
		},
		0,
	);
	return core;
}

function reserve(
	core: RateCore,
	requestId: string,
	tokens: number,
	now: number,
): readonly RateCommand[] {
	return core.handle(
		{type: 'reserveRequested', requestId, customer, tokens, maxWaitMs: 400},
		now,
	);
}

/** Delivers transfer requests and answers between entries without delay. Returns all other commands. */
function deliverTransfers(
	cores: ReadonlyMap<string, RateCore>,
	from: string,
	commands: readonly RateCommand[],
	now: number,
): readonly RateCommand[] {
	const outcomes: RateCommand[] = [];
	for (const command of commands) {
		if (command.type === 'requestTransfer') {
			const {peer, transferId, tokens} = command;
			const [answer] =
				cores.get(peer)?.handle(
					{
						type: 'transferRequested',
						peer: from,
						transferId,
						customer,
						tokens,
					},
					now,
				) ?? [];
			assert.equal(answer?.type, 'sendTransfer');
			const event: RateEvent = {
				type: 'transferArrived',
				peer,
				transferId,
				tokens: answer.tokens,
			};
			const next = cores.get(from)?.handle(event, now) ?? [];
			outcomes.push(...deliverTransfers(cores, from, next, now));
		} else {
			outcomes.push(command);
		}
	}

	return outcomes;
}

/** Lets each transfer that is asked for fail. Returns all other commands. */
function failTransfers(
	core: RateCore,
	commands: readonly RateCommand[],
	now: number,
): readonly RateCommand[] {
	return commands.flatMap(command => {
		if (command.type !== 'requestTransfer') {
			return [command];
		}

		const {peer, transferId} = command;
		const next = core.handle({type: 'transferFailed', peer, transferId}, now);
		return failTransfers(core, next, now);
	});
}

function createFleet(): ReadonlyMap<string, RateCore> {
	return new Map(shards.map(({id}) => [`entry-${id}`, createEntry(id)]));
}

describe('RateCore', () => {
	describe('with tokens in a local bucket', () => {
		it('reserves them at once and requests missing tokens from another holder', () => {
			const core = createEntry('a');
			assert.deepEqual(reserve(core, 'r1', 1000, 0), [
				{type: 'reserved', requestId: 'r1'},
			]);
			const [next] = reserve(core, 'r2', 10, 0);
			assert.equal(next?.type, 'requestTransfer');
		});
	});

	describe('when an idle customer bursts at one entry', () => {
		it('collects the whole burst from all holders, and refuses the next request', () => {
			const fleet = createFleet();
			const core = fleet.get('entry-a');
			assert.ok(core !== undefined);
			const commands = reserve(core, 'r1', 3000, 0);
			const outcomes = deliverTransfers(fleet, 'entry-a', commands, 0);
			assert.equal(outcomes[0]?.type, 'reserved');
			const again = deliverTransfers(
				fleet,
				'entry-a',
				reserve(core, 'r2', 300, 0),
				0,
			);
			assert.equal(again[0]?.type, 'reserveRefused');
		});
	});

	describe('when the missing tokens are about to accrue', () => {
		it('lets one request wait for them and refuses the next one', () => {
			const core = createEntry('a');
			reserve(core, 'r1', 1000, 0);
			const onlySelf = new Map([...holders].slice(0, 1));
			core.handle({type: 'holdersLearned', holders: onlySelf}, 0);
			const waiting = reserve(core, 'r2', 8, 0);
			assert.ok(waiting.every(command => command.type === 'refreshHolders'));
			assert.equal(reserve(core, 'r3', 8, 0)[0]?.type, 'reserveRefused');
			assert.deepEqual(core.handle({type: 'tick'}, 50), []);
			assert.deepEqual(core.handle({type: 'tick'}, 100)[0], {
				type: 'reserved',
				requestId: 'r2',
			});
		});
	});

	describe('when no other holder answers', () => {
		/** Reserves tokens that this entry does not have. */
		const reserveInVain = (core: RateCore, requestId: string, now: number) =>
			failTransfers(core, reserve(core, requestId, 100, now), now);

		// Guards against a 429 for each request but one while the holder of its tokens took long to answer.
		it('asks again for all requests, and refuses them at their deadline', () => {
			const core = createEntry('a');
			reserve(core, 'all', 1000, 0);
			assert.deepEqual(reserveInVain(core, 'r1', 1), []);
			assert.deepEqual(reserveInVain(core, 'r2', 1), []);
			const outcomes = [];
			for (let now = 2; now <= 401; now++) {
				const commands = core.handle({type: 'tick'}, now);
				for (const command of failTransfers(core, commands, now)) {
					assert.equal(command.type, 'reserveRefused');
					outcomes.push({requestId: command.requestId, now});
				}
			}

			assert.deepEqual(outcomes, [
				{requestId: 'r1', now: 301},
				{requestId: 'r2', now: 301},
			]);
		});

		it('lets only so many requests of a customer wait', () => {
			const core = createEntry('a');
			reserve(core, 'all', 1000, 0);
			const refused = Array.from({length: 2 * maxWaitingForHolders}, (_, i) =>
				reserveInVain(core, `r${i}`, 1),
			).filter(commands => commands.length > 0);
			// One more request waits for tokens to accrue.
			assert.equal(refused.length, maxWaitingForHolders - 1);
		});
	});

	describe('with a request larger than the burst', () => {
		it('refuses it without a retry delay', () => {
			assert.deepEqual(reserve(createEntry('a'), 'r1', 3001, 0), [
				{type: 'reserveRefused', requestId: 'r1'},
			]);
		});
	});

	describe('when the lease has expired', () => {
		it('spends nothing until the lease is renewed', () => {
			const core = createEntry('a');
			const [expired] = reserve(core, 'r1', 10, 10_000);
			assert.notEqual(expired?.type, 'reserved');
			core.handle(
				{
					type: 'leaseGranted',
					shard: 'a',
					epoch: 1,
					validUntil: 30_000,
					start: {kind: 'empty'},
				},
				10_001,
			);
			const [renewed] = reserve(core, 'r2', 10, 10_002);
			assert.equal(renewed?.type, 'reserved');
		});

		it('spends nothing if time that the monotonic clock did not count exceeds the lease', () => {
			const core = createEntry('a');
			core.handle({type: 'clockJumped', byMs: 10_000}, 5);
			const [command] = reserve(core, 'r1', 10, 5);
			assert.notEqual(command?.type, 'reserved');
		});
	});

	describe('when tokens are returned', () => {
		it('credits them, but none that would have overflowed the bucket', () => {
			const core = createEntry('a');
			reserve(core, 'old', 1000, 0);
			reserve(core, 'new', 900, 9999);
			core.handle(
				{type: 'tokensReturned', requestId: 'new', tokens: 400},
				9999,
			);
			core.handle(
				{type: 'tokensReturned', requestId: 'old', tokens: 1000},
				9999,
			);
			const [first] = reserve(core, 'r1', 499, 9999);
			const [second] = reserve(core, 'r2', 2, 9999);
			assert.equal(first?.type, 'reserved');
			assert.notEqual(second?.type, 'reserved');
		});

		it('credits a transfer once when its return is repeated', () => {
			const core = createEntry('b');
			const transfer = {transferId: 't', customer, tokens: 1000};
			core.handle({type: 'transferRequested', peer: 'entry-a', ...transfer}, 0);
			core.handle({type: 'transferReturned', ...transfer, tokens: 300}, 1);
			core.handle({type: 'transferReturned', ...transfer, tokens: 300}, 2);
			assert.equal(reserve(core, 'r1', 300, 2)[0]?.type, 'reserved');
			assert.notEqual(reserve(core, 'r2', 300, 2)[0]?.type, 'reserved');
		});
	});

	describe('when the limit is lowered', () => {
		it('applies the lower burst at once', () => {
			const core = createEntry('a');
			const limit = {customer, tokensPerSecond: 3, burstTokens: 30};
			core.handle({type: 'limitsChanged', limits: [limit]}, 0);
			assert.equal(reserve(core, 'r1', 10, 0)[0]?.type, 'reserved');
			assert.notEqual(reserve(core, 'r2', 1, 1)[0]?.type, 'reserved');
		});
	});
});
