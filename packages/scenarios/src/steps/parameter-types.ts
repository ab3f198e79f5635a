import {defineParameterType} from '@cucumber/cucumber';
import {
	parseQuotedNames,
	parsePresentedKey,
} from '../support/parameter-types.js';

// Cucumber does not support the v flag in parameter type patterns.
/* eslint-disable require-unicode-regexp */

defineParameterType({
	name: 'names',
	regexp: /"[^"]+"(?:(?:, | and )"[^"]+")+/,
	transformer: (text: string) => parseQuotedNames(text),
});

defineParameterType({
	name: 'who',
	regexp: /without a key|with the key "[^"]+"|with the key of "[^"]+"/,
	transformer: (text: string) => parsePresentedKey(text),
});

defineParameterType({
	name: 'place',
	regexp: /the usual header|an X-Api-Key|a cookie|the query|the body/,
	transformer: (text: string) => text,
});
/* eslint-enable require-unicode-regexp */
