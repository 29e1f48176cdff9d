'use strict';

const Mocha = require('mocha');

/** Mocha's spec reporter with a final line `N passed, N failed`. */
module.exports = class SummaryReporter extends Mocha.reporters.Spec {
	epilogue() {
		super.epilogue();
		console.log(`${this.stats.passes} passed, ${this.stats.failures} failed`);
	}
};
