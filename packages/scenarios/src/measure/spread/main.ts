/** Prints the measures of the configuration's state and spread as JSON. Takes the seed as its argument. */
import process from 'node:process';
import {measureSpread} from '../spread.js';

const usualSeed = 1;

const seed = Number(process.argv[2] ?? usualSeed);
const measure = await measureSpread(seed, line => {
	process.stderr.write(`${line}\n`);
});
process.stdout.write(`${JSON.stringify(measure, null, 2)}\n`);
