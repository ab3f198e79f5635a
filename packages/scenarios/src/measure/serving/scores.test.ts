import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findExperiment, findPolicy} from './catalogue.js';
import {runExperiment} from './run-experiment.js';
import {formatScores} from './scores.js';

describe('formatScores', () => {
	describe('with one run of the zone experiment', () => {
		it('formats both scores, and the same table for the same seed', () => {
			const run = () => ({
				experiment: 'zone',
				policy: 'ours',
				seed: 1,
				figures: runExperiment(findExperiment('zone'), findPolicy('ours'), 1),
			});
			const text = formatScores([run()]);
			assert.match(text, /\| ours \| \d+\.\d \| \d+\.\d \|/v);
			assert.equal(formatScores([run()]), text);
		});
	});
});
