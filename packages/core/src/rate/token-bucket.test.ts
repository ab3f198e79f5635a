import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createRandom, type Random} from '../common/random.js';
import {TokenBucket} from './token-bucket.js';

const seed = 20_260_122;
const runs = 1000;
const steps = 60;
const expiryMs = 500;
const limit = {tokensPerMs: 0.1, burst: 100};

type Spend = {readonly at: number; tokens: number};

/** Makes random reservations, transfers and returns on one bucket. Returns the tokens spent, without returned ones. */
function spendAtRandom(random: Random): readonly Spend[] {
	const bucket = TokenBucket.create(limit, limit.burst, 0);
	const spends: Spend[] = [];
	const open: Array<() => void> = [];
	let now = 0;
	for (let i = 0; i < steps; i++) {
		now += random() < 0.3 ? 0 : random() * 300;
		bucket.advanceTo(now);
		const tokens = Math.min(
			bucket.available,
			1 + Math.floor(random() * limit.burst),
		);
		const kind = random();
		if (tokens > 0 && kind < 0.4) {
			const spend = {at: now, tokens};
			bucket.hold(tokens);
			const mark = bucket.spendHold(tokens, now);
			spends.push(spend);
			open.push(() => {
				const unused = Math.floor(random() * tokens);
				spend.tokens -= unused;
				bucket.credit(mark, unused);
			});
		} else if (tokens > 0 && kind < 0.7) {
			bucket.send(`t${i}`, tokens, now + expiryMs);
			// The receiver may spend the tokens at any time until the transfer expires.
			const spend = {at: now + random() * expiryMs, tokens};
			spends.push(spend);
			open.push(() => {
				const unused = Math.floor(random() * tokens);
				spend.tokens -= unused;
				bucket.acceptReturn(`t${i}`, unused);
				bucket.acceptReturn(`t${i}`, unused);
			});
		} else {
			open.splice(Math.floor(random() * open.length), 1)[0]?.();
		}
	}

	return spends.toSorted((a, b) => a.at - b.at);
}

/** Maximum number of tokens by which the spending in any time window exceeds the burst plus the rate times its length. */
function worstExcess(spends: readonly Spend[]): number {
	let worst = 0;
	for (const [i, first] of spends.entries()) {
		let spent = 0;
		for (const spend of spends.slice(i)) {
			spent += spend.tokens;
			const accrued = limit.tokensPerMs * (spend.at - first.at);
			worst = Math.max(worst, spent - limit.burst - accrued);
		}
	}

	return worst;
}

describe('TokenBucket', () => {
	describe('with random reservations, transfers and returns', () => {
		it('spends at most the rate times the length plus the burst in any window', () => {
			fc.assert(
				fc.property(fc.nat(), n => {
					const spends = spendAtRandom(createRandom(n));
					assert.ok(worstExcess(spends) < 1e-6);
				}),
				{seed, numRuns: runs},
			);
		});
	});

	describe('while sent tokens may still be spent', () => {
		it('counts them against the burst until they expire', () => {
			const bucket = TokenBucket.create(limit, limit.burst, 0);
			bucket.send('t', 100, expiryMs);
			bucket.advanceTo(expiryMs);
			assert.equal(bucket.available, 0);
			bucket.advanceTo(expiryMs + 100);
			assert.equal(bucket.available, 10);
		});

		it('stops counting them when the receiver confirms', () => {
			const bucket = TokenBucket.create(limit, limit.burst, 0);
			bucket.send('t', 100, expiryMs);
			bucket.confirm('t', 0);
			bucket.advanceTo(100);
			assert.equal(bucket.available, 10);
		});
	});
});
